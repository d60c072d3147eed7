package main_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

// telling is what a caller was told of one request at one moment.
type telling struct {
	id      yuccaid.RequestID
	by      yuccaid.VM
	run     yuccaonce.Run
	reason  yuccaonce.Reason
	partial bool
	// read says that the text was read, broken that the caller could see that it is
	// not whole, and refused that an error came in its place.
	read    bool
	broken  bool
	refused bool
	pieces  int
	data    string
}

// whole reports whether the caller holds the answer for good.
func (tell telling) whole() bool {
	return tell.run == yuccaonce.Ran && !tell.partial && !tell.broken && !tell.refused
}

// told turns what the client returned into what its caller knows by it.
func told(id yuccaid.RequestID, by yuccaid.VM, answer *yuccacaller.Answer, err error) telling {
	tell := telling{id: id, by: by}
	var refused *yuccacaller.RefusedError
	if errors.As(err, &refused) {
		tell.refused, tell.run, tell.reason = true, refused.Run, refused.Reason
		return tell
	}
	tell.broken = err != nil
	if answer != nil {
		tell.read = true
		tell.run, tell.reason, tell.partial = answer.End.Run, answer.End.Reason, answer.End.Partial
		tell.pieces, tell.data = answer.End.Pieces, string(answer.Data)
	}
	return tell
}

// violations compares what callers were told with what targets really ran. It knows
// nothing of how the fleet works, so it holds under any mix of faults.
func violations(ran []yuccastand.Run, tellings []telling) []string {
	var found []string
	byID := make(map[yuccaid.RequestID][]yuccastand.Run)
	for _, run := range ran {
		id := yuccaid.RequestID(run.ID)
		byID[id] = append(byID[id], run)
		if len(byID[id]) == 2 {
			found = append(found, fmt.Sprintf("%s ran twice", id))
		}
	}
	for _, tell := range tellings {
		if wrong := tell.wrong(byID[tell.id]); wrong != "" {
			found = append(found, fmt.Sprintf("%s: %s, told by %s: %+v", tell.id, wrong, tell.by, tell))
		}
	}
	return found
}

func (tell telling) wrong(ran []yuccastand.Run) string {
	switch {
	case tell.run == yuccaonce.NotRun && len(ran) > 0:
		return "called not run, but it ran"
	case tell.whole() && len(ran) == 0:
		return "called whole, but it never ran"
	case tell.whole() && (ran[0].Cancelled || ran[0].Pieces != tell.pieces):
		return fmt.Sprintf("called whole with %d pieces, but it ran as %+v", tell.pieces, ran[0])
	case tell.read && tell.whole() && tell.data != yuccastand.Answer(string(tell.id), tell.pieces):
		return "an answer that is not its own"
	case !strings.HasPrefix(yuccastand.Answer(string(tell.id), strings.Count(tell.data, " ")), tell.data):
		return "a piece that is not its own"
	}
	return ""
}

// witness remembers every answer that any caller of a fleet was told.
type witness struct {
	mu       sync.Mutex
	tellings []telling
}

func (wit *witness) hear(tell telling) telling {
	wit.mu.Lock()
	defer wit.mu.Unlock()
	wit.tellings = append(wit.tellings, tell)
	return tell
}

func (wit *witness) heard() []telling {
	wit.mu.Lock()
	defer wit.mu.Unlock()
	return append([]telling(nil), wit.tellings...)
}

// open draws an id for the test's account.
func (fl *fleet) open(ctx context.Context, dm *daemon) yuccaid.RequestID {
	GinkgoHelper()
	id, err := fl.caller.Open(ctx, dm.addresses.Caller)
	Expect(err).NotTo(HaveOccurred(), "%s: %s", dm.name, dm.logs)
	return id
}

// submit sends a request through a daemon and remembers what its caller is told.
func (fl *fleet) submit(ctx context.Context, dm *daemon, id yuccaid.RequestID, req yuccadaemon.Request) telling {
	return fl.witness.hear(fl.unheard(ctx, dm, id, req))
}

// unheard sends a request whose answer the witness can't judge.
func (fl *fleet) unheard(ctx context.Context, dm *daemon, id yuccaid.RequestID, req yuccadaemon.Request) telling {
	answer, err := fl.caller.Submit(ctx, dm.addresses.Caller, id, req)
	return told(id, dm.name, answer, err)
}

// run opens and submits at one daemon.
func (fl *fleet) run(ctx context.Context, dm *daemon, req yuccadaemon.Request) telling {
	GinkgoHelper()
	return fl.submit(ctx, dm, fl.open(ctx, dm), req)
}

// outcome asks a daemon what became of a request.
func (fl *fleet) outcome(ctx context.Context, dm *daemon, id yuccaid.RequestID) telling {
	end, err := fl.caller.Outcome(ctx, dm.addresses.Caller, id)
	tell := told(id, dm.name, nil, err)
	if err == nil {
		tell.run, tell.reason, tell.partial, tell.pieces = end.Run, end.Reason, end.Partial, end.Pieces
	}
	return fl.witness.hear(tell)
}

// allRuns is what really ran, at all targets.
func (fl *fleet) allRuns() []yuccastand.Run {
	GinkgoHelper()
	var all []yuccastand.Run
	for _, address := range append([]string{fl.plain}, fl.engines...) {
		all = append(all, runs(address)...)
	}
	return all
}

// verify holds everything ever told against everything that ever ran.
func (fl *fleet) verify() {
	GinkgoHelper()
	heard := fl.witness.heard()
	Expect(violations(fl.allRuns(), heard)).To(BeEmpty())
	for _, proc := range fl.children {
		Expect(proc.logs.String()).NotTo(ContainSubstring("DATA RACE"))
	}
	counts := make(map[string]int)
	for _, tell := range heard {
		counts[string(tell.run)]++
	}
	GinkgoWriter.Printf("%d answers told: %v\n", len(heard), counts)
}

// A checker that can't object proves nothing: each kind of lie is put before it.
var _ = DescribeTable("the comparison of answers with runs objects",
	func(ran []yuccastand.Run, tell telling, want string) {
		tell.id = "a"
		Expect(violations(ran, []telling{tell})).To(ContainElement(ContainSubstring(want)))
	},
	Entry("to a second run", []yuccastand.Run{{ID: "a"}, {ID: "a"}}, telling{run: yuccaonce.Unknown}, "ran twice"),
	Entry("to a run that was denied", []yuccastand.Run{{ID: "a"}}, telling{run: yuccaonce.NotRun}, "but it ran"),
	Entry("to an answer without a run", nil, telling{run: yuccaonce.Ran}, "never ran"),
	Entry("to a shortened answer", []yuccastand.Run{{ID: "a", Pieces: 2}}, telling{run: yuccaonce.Ran, pieces: 1, read: true, data: yuccastand.Answer("a", 1)}, "ran as"),
	Entry("to a cancelled run as whole", []yuccastand.Run{{ID: "a", Pieces: 2, Cancelled: true}}, telling{run: yuccaonce.Ran, pieces: 2}, "ran as"),
	Entry("to another's answer", []yuccastand.Run{{ID: "a", Pieces: 1}}, telling{run: yuccaonce.Ran, pieces: 1, read: true, data: yuccastand.Answer("b", 1)}, "not its own"),
	Entry("to another's piece in a part", []yuccastand.Run{{ID: "a", Pieces: 1}}, telling{run: yuccaonce.Unknown, read: true, partial: true, data: yuccastand.Answer("b", 1)}, "not its own"),
)
