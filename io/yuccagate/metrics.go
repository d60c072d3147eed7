package yuccagate

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/io/yuccawire"
)

// metrics holds the counters and histograms of one gateway.
type metrics struct {
	set *vm.Set
}

func newMetrics() *metrics {
	return &metrics{set: vm.NewSet()}
}

// rankLabel returns the value of the label tier, which holds a route's rank; requests without a
// route have the value "none".
func rankLabel(rank int) string {
	if rank < 0 {
		return "none"
	}
	return strconv.Itoa(rank)
}

// problem counts a response that the gateway itself gave.
func (met *metrics) problem(rank int, kind Kind, detail string) {
	if kind != KindQuota && kind != KindLate && kind != KindBusy && kind != KindRejected {
		// Details of other kinds are free text, which would create a metric for each text.
		detail = ""
	}
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_problems_total{tier=%q,kind=%q,reason=%q}", rankLabel(rank), kind, detail)).Inc()
}

// answered counts a target's response. The duration timeToFirst is the time from the request's
// arrival to the first event, or to the head of a response that isn't a stream.
func (met *metrics) answered(rank int, outcome yuccagrant.Outcome, timeToFirst, longestGap time.Duration) {
	label := rankLabel(rank)
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_answers_total{tier=%q,outcome=%q}", label, outcome)).Inc()
	if outcome != yuccagrant.Served {
		return
	}
	met.set.GetOrCreateHistogram(fmt.Sprintf("yuccacleat_gate_first_event_seconds{tier=%q}", label)).Update(timeToFirst.Seconds())
	met.set.GetOrCreateHistogram(fmt.Sprintf("yuccacleat_gate_pause_seconds{tier=%q}", label)).Update(longestGap.Seconds())
}

// answerEnded counts how the end of a target's response was stated, and whether the response was a
// stream that ended inside an event.
func (met *metrics) answerEnded(framing string, insideEvent bool) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_answer_ends_total{framing=%q,insideEvent=\"%t\"}", framing, insideEvent)).Inc()
}

// sent counts an attempt that was sent to a target, and records how long ago its request arrived.
// The label alone is "true" if this daemon decided on the attempt without the pool's leader.
func (met *metrics) sent(rank int, withoutLeader bool, waited time.Duration) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_sends_total{tier=%q,alone=\"%t\"}", rankLabel(rank), withoutLeader)).Inc()
	met.set.GetOrCreateHistogram(fmt.Sprintf("yuccacleat_gate_wait_seconds{tier=%q}", rankLabel(rank))).Update(waited.Seconds())
}

// resendDecided counts whether the resend budget allowed a request to be sent to another target.
func (met *metrics) resendDecided(allowed bool) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_resends_total{allowed=\"%t\"}", allowed)).Inc()
}

// silenceEnded counts a target that was silent for so long that another one was looked for, by whether it was replaced.
func (met *metrics) silenceEnded(replaced bool) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_silences_total{replaced=\"%t\"}", replaced)).Inc()
}

// takenUp counts a stream that a caller takes up, by the way in which its origin was found out.
func (met *metrics) takenUp(origin string) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_streams_taken_up_total{origin=%q}", origin)).Inc()
}

// platformChecked counts a read of the platform for which callers waited.
func (met *metrics) platformChecked(succeeded bool) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_platform_checks_total{succeeded=\"%t\"}", succeeded)).Inc()
}

// targetCrashed counts a target that has crashed while it had runs of this daemon.
func (met *metrics) targetCrashed() {
	met.set.GetOrCreateCounter("yuccacleat_gate_target_crashes_total").Inc()
}

// setHeldParts sets the number of parts of prompts that are held back.
func (met *metrics) setHeldParts(count int) {
	met.set.GetOrCreateGauge("yuccacleat_gate_held_parts", nil).Set(float64(count))
}

// grantDeclined counts a granted target that the daemon which holds the request declined, by the reason.
func (met *metrics) grantDeclined(why yuccaallow.Exclusion) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_grants_declined_total{reason=%q}", why)).Inc()
}

func (met *metrics) connRejected(reason Rejection) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_connections_turned_away_total{reason=%q}", reason)).Inc()
}

func (met *metrics) quotaRefused(verdict yuccaquota.Verdict) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_quota_refusals_total{verdict=%q}", verdict)).Inc()
}

// admittedAlone counts a request of a limited account on which this daemon decided without the
// account's leader.
func (met *metrics) admittedAlone() {
	met.set.GetOrCreateCounter("yuccacleat_gate_quota_decisions_alone_total").Inc()
}

// unsent counts a message to another daemon that could not be queued.
func (met *metrics) unsent(kind yuccawire.Kind) {
	met.set.GetOrCreateCounter(fmt.Sprintf("yuccacleat_gate_messages_unsent_total{kind=%q}", kind)).Inc()
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (gate *Gate) WriteMetrics(w io.Writer) {
	gate.metrics.set.WritePrometheus(w)
	status := gate.Status()
	vm.WriteGaugeUint64(w, "yuccacleat_gate_configuration_number", uint64(status.Number))
	vm.WriteGaugeFloat64(w, "yuccacleat_gate_platform_age_seconds", float64(status.PlatformAgeMillis)/1000)
	vm.WriteGaugeUint64(w, "yuccacleat_gate_peers", uint64(len(status.Peers)))
	vm.WriteGaugeFloat64(w, "yuccacleat_gate_quota_part", status.QuotaShare)
	vm.WriteGaugeUint64(w, "yuccacleat_gate_open_requests", uint64(max(status.OpenRequests, 0)))
	vm.WriteGaugeUint64(w, "yuccacleat_gate_held_bytes", uint64(gate.memory.reserved()))
	vm.WriteGaugeUint64(w, "yuccacleat_gate_ready", boolGauge(status.Ready))
	vm.WriteGaugeFloat64(w, "yuccacleat_gate_control_lag_seconds", gate.control.Oldest().Seconds())
	vm.WriteGaugeUint64(w, "yuccacleat_gate_streams_remembered", uint64(status.Streams))
	vm.WriteGaugeUint64(w, "yuccacleat_gate_evacuated_centres", uint64(len(status.Evacuated)))
	writeRegistered(w, status.Targets)
	writeExcluded(w, status)
	for _, pool := range status.Pools {
		label := fmt.Sprintf("{pool=%q}", pool.Pool)
		vm.WriteGaugeUint64(w, "yuccacleat_gate_waiting"+label, uint64(pool.Waiting))
		vm.WriteGaugeUint64(w, "yuccacleat_gate_targets"+label, uint64(len(pool.Targets)))
		vm.WriteGaugeUint64(w, "yuccacleat_gate_leads"+label, boolGauge(pool.Leader == status.VM))
		writeHeldBack(w, pool)
	}
	for _, count := range gate.hub.Counts() {
		label := fmt.Sprintf("{kind=%q}", count.Kind)
		vm.WriteCounterUint64(w, "yuccacleat_gate_messages_sent_total"+label, count.MessagesSent)
		vm.WriteCounterUint64(w, "yuccacleat_gate_messages_received_total"+label, count.MessagesReceived)
		vm.WriteCounterUint64(w, "yuccacleat_gate_sent_bytes_total"+label, uint64(count.BytesSent))
		vm.WriteCounterUint64(w, "yuccacleat_gate_received_bytes_total"+label, uint64(count.BytesReceived))
	}
}

// writeHeldBack writes how many of a pool's targets are cold, and how many this daemon sends nothing, by the reason.
func writeHeldBack(w io.Writer, pool PoolStatus) {
	cold, counts := uint64(0), make(map[yuccaallow.Exclusion]uint64)
	for _, target := range pool.Targets {
		if target.Cold {
			cold++
		}
		counts[target.HeldBack]++
	}
	vm.WriteGaugeUint64(w, fmt.Sprintf("yuccacleat_gate_cold_targets{pool=%q}", pool.Pool), cold)
	for _, reason := range []yuccaallow.Exclusion{yuccagrant.Cold, yuccagrant.Untried, yuccagrant.Window} {
		vm.WriteGaugeUint64(w, fmt.Sprintf("yuccacleat_gate_held_back_targets{pool=%q,reason=%q}", pool.Pool, reason), counts[reason])
	}
}

// writeRegistered writes how many targets of each pool are registered, by the version of their software.
func writeRegistered(w io.Writer, targets []TargetStatus) {
	counts := make(map[string]uint64)
	for _, target := range targets {
		counts[fmt.Sprintf("{pool=%q,version=%q}", target.Pool, target.Version)]++
	}
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		vm.WriteGaugeUint64(w, "yuccacleat_gate_registered_targets"+label, counts[label])
	}
}

// writeExcluded writes how many targets of each pool get no requests, by the reason.
func writeExcluded(w io.Writer, status Status) {
	counts := make(map[string]uint64)
	for _, target := range status.Targets {
		evacuated := slices.Contains(status.Evacuated, target.Centre)
		why := yuccaallow.Check(yuccaallow.Limits{}, nil, yuccaallow.Target{Leaving: target.Leaving, Evacuated: evacuated})
		if why != yuccaallow.Allowed {
			counts[fmt.Sprintf("{pool=%q,reason=%q}", target.Pool, why)]++
		}
	}
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		vm.WriteGaugeUint64(w, "yuccacleat_gate_excluded_targets"+label, counts[label])
	}
}

func boolGauge(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
