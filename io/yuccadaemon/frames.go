package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccapool"
	"yuccacleat/io/yuccawire"
)

// onFrame takes one control message from a proven peer; the work waits its turn on
// the control goroutine, so messages of one peer keep their order.
func (d *Daemon) onFrame(from yuccaid.Incarnation, frame yuccawire.Frame) {
	if frame.Kind == yuccawire.KindNotes {
		if err := decoded(frame, d.readNotes); err != nil {
			d.log.problem("message from "+from.String(), err)
		}
		return
	}
	d.control.Post(func(now time.Time) {
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
		return decoded(frame, func(offer yuccawire.Offer) { d.onOffer(now, from, d.ask(from, offer)) })
	case yuccawire.KindWithdraw:
		return decoded(frame, func(message yuccawire.Withdrawal) { d.onWithdraw(now, message.Pool, d.unref(from, message.Ref)) })
	case yuccawire.KindProgress:
		return decoded(frame, func(message yuccawire.Progress) { d.onRunProgress(now, from, message) })
	case yuccawire.KindFinished:
		return decoded(frame, func(message yuccawire.Finished) { d.onFinished(now, message.Pool, d.finished(from, message)) })
	case yuccawire.KindHold:
		return decoded(frame, func(message yuccawire.Hold) {
			running := yuccapool.Running{Request: d.ask(from, message.Offer), Target: message.Target, Answered: message.Answered}
			d.onHold(now, message.Offer.Pool, running)
		})
	case yuccawire.KindGrant:
		return decoded(frame, func(message yuccawire.Grant) { d.onGrant(now, message.Pool, d.grant(from, message)) })
	case yuccawire.KindRefusal:
		return decoded(frame, func(message yuccawire.Refusal) { d.onRefusal(now, d.refusal(message)) })
	case yuccawire.KindCancel:
		return decoded(frame, func(message yuccawire.Cancel) { d.onCancel(now, d.cancel(message)) })
	case yuccawire.KindNotLeader:
		return decoded(frame, func(message yuccawire.NotLeader) { d.onNotLeader(now, d.unref(d.self.Incarnation, message.Ref)) })
	case yuccawire.KindNotePull:
		return decoded(frame, func(message yuccawire.NotePull) { d.onNotePull(from, message) })
	case yuccawire.KindSnapshot:
		return decoded(frame, func(message yuccawire.Snapshot) { d.onSnapshot(message) })
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
