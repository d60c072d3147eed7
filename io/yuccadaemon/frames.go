package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/io/yuccawire"
)

// onFrame takes one control message from a proven peer; the work waits its turn on
// the control goroutine, so messages of one peer keep their order.
func (d *Daemon) onFrame(from yuccaid.Incarnation, frame yuccawire.Frame) {
	d.control.post(func(now time.Time) {
		if err := d.handle(now, from, frame); err != nil {
			d.log.problem("message from "+from.String(), err)
		}
	})
}

func (d *Daemon) handle(now time.Time, from yuccaid.Incarnation, frame yuccawire.Frame) error {
	switch frame.Kind {
	case yuccawire.KindHeartbeat:
		return decoded(frame, func(beat yuccapeer.Heartbeat) { d.onHeartbeat(now, from, beat) })
	case yuccawire.KindPulse:
		return decoded(frame, func(pulse yuccapeer.Pulse) { d.onPulse(now, from, pulse) })
	case yuccawire.KindRoster:
		return decoded(frame, func(message roster) { d.onRoster(now, message) })
	case yuccawire.KindOffer:
		return decoded(frame, func(ask yuccaqueue.Ask) { d.onOffer(now, from, ask) })
	case yuccawire.KindWithdraw:
		return decoded(frame, func(message yuccawire.Withdrawal) { d.onWithdraw(now, message) })
	case yuccawire.KindProgress:
		return decoded(frame, func(message yuccawire.Progress) { d.onProgress(now, message) })
	case yuccawire.KindFinished:
		return decoded(frame, func(message yuccawire.Finished) { d.onFinished(now, message) })
	case yuccawire.KindHold:
		return decoded(frame, func(message yuccawire.Hold) { d.onHold(now, message) })
	case yuccawire.KindGrant:
		return decoded(frame, func(message yuccawire.PoolGrant) { d.onGrant(now, message.Pool, message.Grant) })
	case yuccawire.KindRefusal:
		return decoded(frame, func(message yuccawire.PoolRefusal) { d.onRefusal(now, message.Refusal) })
	case yuccawire.KindCancel:
		return decoded(frame, func(message yuccawire.PoolCancel) { d.onCancel(now, message.Cancel) })
	case yuccawire.KindNotLeader:
		return decoded(frame, func(message yuccawire.NotLeader) { d.onNotLeader(now, message) })
	case yuccawire.KindNotePull:
		return decoded(frame, func(message yuccawire.NotePull) { d.onNotePull(from, message) })
	case yuccawire.KindNotes:
		return decoded(frame, func(message yuccawire.Notes) { d.onNotes(now, message) })
	case yuccawire.KindSnapshot:
		return decoded(frame, func(message yuccawire.Snapshot) { d.onSnapshot(now, message) })
	}
	return nil
}

func decoded[T any](frame yuccawire.Frame, use func(T)) error {
	var body T
	if err := frame.Decode(&body); err != nil {
		return err
	}
	use(body)
	return nil
}
