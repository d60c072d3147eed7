package yuccagate

import (
	"fmt"
	"io"

	vm "github.com/VictoriaMetrics/metrics"

	"yuccacleat/io/yuccawire"
)

// metrics is what operators watch; each gateway has a set of its own.
type metrics struct {
	set *vm.Set
}

func newMetrics() *metrics {
	return &metrics{set: vm.NewSet()}
}

func (met *metrics) problem(kind Kind) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_problems_total{kind=%q}", kind)).Inc()
}

func (met *metrics) unsent(kind yuccawire.Kind) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_messages_unsent_total{kind=%q}", kind)).Inc()
}

// WriteMetrics writes the metrics in the text form that scrapers read.
func (gate *Gate) WriteMetrics(w io.Writer) {
	gate.metrics.set.WritePrometheus(w)
}
