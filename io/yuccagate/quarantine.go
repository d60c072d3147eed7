package yuccagate

import (
	mathrand "math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/io/yuccawire"
)

const (
	// experiencedAfter is the time since its start after which a daemon counts as knowing of earlier crashes.
	experiencedAfter = 2 * time.Minute
	// quarantineSyncInterval is the time between two messages in which a daemon with held traits tells one peer of all of them.
	quarantineSyncInterval = 2 * time.Second
	// quarantineExpiryInterval is the time between two searches for runs and checks that are too old to matter.
	quarantineExpiryInterval = time.Second
)

// quarantine is what this daemon knows of targets that crash and of the traits of requests that are held back for it. Apart
// from active, it belongs to the control goroutine.
type quarantine struct {
	known *yuccaquarantine.Quarantine
	// runs are the runs that broke off, and checkedAt when the targets of some were last checked.
	runs      yuccaquarantine.Runs
	checkedAt map[yuccaquarantine.Process]time.Time
	// experienced reports whether this daemon knows of earlier crashes, or a daemon that does has told it.
	experienced bool
	// held are the traits that are held.
	held                []yuccaquarantine.Trait
	syncedAt, expiredAt time.Time
	// active reports whether requests have to be checked, because traits are held or about to be.
	active atomic.Bool
}

func newQuarantine(settings Settings) *quarantine {
	return &quarantine{
		known: yuccaquarantine.New(settings.VM), checkedAt: make(map[yuccaquarantine.Process]time.Time), experienced: settings.FirstStart,
	}
}

// tickQuarantine decides what is held, and tells other daemons what they need to know.
func (gate *Gate) tickQuarantine(now time.Time) {
	qua := gate.quarantine
	qua.experienced = qua.experienced || now.Sub(gate.startedAt) >= experiencedAfter
	if now.Sub(qua.expiredAt) >= quarantineExpiryInterval {
		qua.expiredAt = now
		qua.runs.Expire(now)
		for process, at := range qua.checkedAt {
			if now.Sub(at) >= targetCheckInterval {
				delete(qua.checkedAt, process)
			}
		}
	}
	news := qua.known.Tick(now, gate.quarantineView(now))
	if !news.IsEmpty() {
		gate.tellQuarantine(gate.wireQuarantine(now, news), true, true)
	}
	qua.active.Store(qua.known.IsActive(now))
	if held := qua.known.Held(); !slices.Equal(held, qua.held) {
		gate.log.stateChange("parts held", "parts", held, "before", qua.held)
		qua.held = held
		gate.metrics.setHeldParts(len(held))
		gate.refuseHeld(now)
	}
	if linked := gate.hub.Linked(); len(qua.held) > 0 && len(linked) > 0 && now.Sub(qua.syncedAt) >= quarantineSyncInterval {
		qua.syncedAt = now
		gate.sendQuarantine(now, linked[mathrand.IntN(len(linked))].Incarnation)
	}
}

// quarantineView returns what this daemon sees of its fleet: the whole if it sees all data centres, and most daemons of its own.
func (gate *Gate) quarantineView(now time.Time) yuccaquarantine.View {
	view := yuccaquarantine.View{Whole: true, Experienced: gate.quarantine.experienced}
	for _, centre := range gate.remoteCentres {
		if now.Sub(centre.receivedAt) >= centreFreshFor {
			view.Whole = false
		}
	}
	if 2*len(gate.peers.Live(gate.settings.Centre)) <= len(gate.peers.Candidates(gate.settings.Centre)) {
		view.Whole = false
	}
	return view
}

// wireQuarantine returns the message form of news, with what this daemon is.
func (gate *Gate) wireQuarantine(now time.Time, news yuccaquarantine.News) yuccawire.Quarantine {
	message := wireNews(now, news)
	message.Experienced = gate.quarantine.experienced
	return message
}

// tellQuarantine sends a message to the other daemons of this data centre, and over this daemon's connections to others.
func (gate *Gate) tellQuarantine(message yuccawire.Quarantine, local, remote bool) {
	if local {
		gate.sendLocal(yuccawire.KindQuarantine, message)
	}
	if remote {
		for _, daemon := range gate.remoteLinked() {
			gate.send(daemon, yuccawire.KindQuarantine, message)
		}
	}
}

// sendQuarantine tells a peer all that it needs to know.
func (gate *Gate) sendQuarantine(now time.Time, to yuccaid.Incarnation) {
	gate.send(to, yuccawire.KindQuarantine, gate.wireQuarantine(now, gate.quarantine.known.State()))
}

// onQuarantine merges what another daemon tells, and passes on what is news: from this data centre to others, and from
// others to this one.
func (gate *Gate) onQuarantine(now time.Time, from yuccaid.Incarnation, message yuccawire.Quarantine) {
	gate.quarantine.experienced = gate.quarantine.experienced || message.Experienced
	if !gate.quarantine.known.Merge(now, newsFromWire(now, message)) {
		return
	}
	sender, found := gate.peers.Find(from.VM)
	sentHere := found && sender.Centre == gate.settings.Centre
	gate.tellQuarantine(message, !sentHere, sentHere)
}
