package yuccadaemon

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccaorder"
	"yuccacleat/core/yuccastate"
)

// metrics is what operators watch; each daemon has a set of its own.
type metrics struct {
	set            *vm.Set
	grants         *vm.Counter
	platformErrors *vm.Counter
	reportErrors   *vm.Counter
	platformHeard  atomic.Pointer[time.Time]
	configChanged  atomic.Pointer[time.Time]
}

func newMetrics() *metrics {
	set := vm.NewSet()
	return &metrics{
		set:            set,
		grants:         set.NewCounter("yuccacleat_grants_total"),
		platformErrors: set.NewCounter("yuccacleat_platform_errors_total"),
		reportErrors:   set.NewCounter("yuccacleat_report_errors_total"),
	}
}

func (met *metrics) accepted(tier yuccaid.Tier) {
	met.counter("yuccacleat_accepted_total", "tier", string(tier)).Inc()
}

func (met *metrics) firstToken(tier yuccaid.Tier, after time.Duration) {
	name := fmt.Sprintf("yuccacleat_first_token_seconds{tier=%q}", tier)
	met.set.GetOrCreateHistogram(name).Update(after.Seconds())
}

func (met *metrics) refused(tier yuccaid.Tier, reason yuccaonce.Reason) {
	name := fmt.Sprintf("yuccacleat_refused_total{tier=%q,reason=%q}", tier, reason)
	met.set.GetOrCreateCounter(name).Inc()
}

// closed counts an outcome, and as goodput only what was whole before its deadline.
func (met *metrics) closed(r *run, outcome yuccaonce.Outcome, now time.Time) {
	met.counter("yuccacleat_closed_total", "run", string(outcome.Run)).Inc()
	if outcome.Run == yuccaonce.Ran && !outcome.Partial && now.Before(r.deadline) {
		met.counter("yuccacleat_goodput_total", "tier", string(r.claim.Tier)).Inc()
	}
}

// chain counts accepted, refused and adopted configurations, and alarms.
func (met *metrics) chain(kind yuccastate.EntryKind) {
	met.counter("yuccacleat_configuration_events_total", "kind", string(kind)).Inc()
}

func (met *metrics) orderHeld(hold yuccaorder.HoldReason) {
	met.counter("yuccacleat_orders_held_total", "reason", string(hold)).Inc()
}

func (met *metrics) shifted(centre yuccaid.Centre) {
	met.counter("yuccacleat_shifted_total", "centre", string(centre)).Inc()
}

func (met *metrics) wasted(cause yuccaonce.Reason, tokens yuccaid.Tokens) {
	met.counter("yuccacleat_wasted_prefill_tokens_total", "cause", string(cause)).Add(int(tokens))
}

func (met *metrics) counter(name, label, value string) *vm.Counter {
	return met.set.GetOrCreateCounter(fmt.Sprintf("%s{%s=%q}", name, label, value))
}

// WriteMetrics writes the metrics in the text form that scrapers read.
func (d *Daemon) WriteMetrics(w io.Writer) {
	d.metrics.set.WritePrometheus(w)
	status := d.Status()
	for tier, count := range status.Waiting {
		fmt.Fprintf(w, "yuccacleat_waiting{tier=%q} %d\n", tier, count)
	}
	for tier, count := range status.Running {
		fmt.Fprintf(w, "yuccacleat_running{tier=%q} %d\n", tier, count)
	}
	fmt.Fprintf(w, "yuccacleat_minority %d\n", gauge(status.Minority))
	fmt.Fprintf(w, "yuccacleat_ready %d\n", gauge(status.Ready))
	fmt.Fprintf(w, "yuccacleat_configuration_number %d\n", status.Number)
	fmt.Fprintf(w, "yuccacleat_configuration_age_seconds %.3f\n", ageOf(d.metrics.configChanged.Load()))
	fmt.Fprintf(w, "yuccacleat_platform_heard_age_seconds %.3f\n", ageOf(d.metrics.platformHeard.Load()))
	fmt.Fprintf(w, "yuccacleat_control_oldest_event_seconds %.6f\n", d.control.Oldest().Seconds())
	fmt.Fprintf(w, "yuccacleat_control_events_dropped_total %d\n", d.control.Dropped())
	d.writeLinkCounts(w)
}

// ageOf returns the time since then in seconds, or zero if then is nil. It uses the monotonic
// clock, so a step of the wall clock doesn't make an age negative.
func ageOf(then *time.Time) float64 {
	if then == nil {
		return 0
	}
	return time.Since(*then).Seconds()
}

func (d *Daemon) writeLinkCounts(w io.Writer) {
	for _, count := range d.hub.Counts() {
		fmt.Fprintf(w, "yuccacleat_link_messages_total{kind=%q,direction=\"sent\"} %d\n", count.Kind, count.MessagesSent)
		fmt.Fprintf(w, "yuccacleat_link_messages_total{kind=%q,direction=\"received\"} %d\n", count.Kind, count.MessagesReceived)
		fmt.Fprintf(w, "yuccacleat_link_bytes_total{kind=%q,direction=\"sent\"} %d\n", count.Kind, count.BytesSent)
		fmt.Fprintf(w, "yuccacleat_link_bytes_total{kind=%q,direction=\"received\"} %d\n", count.Kind, count.BytesReceived)
	}
}

func gauge(on bool) int {
	if on {
		return 1
	}
	return 0
}
