package yuccagate_test

import (
	"net"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

// puller is a peer that counts the lists of targets and the configurations that it gets, and keeps the last list.
type puller struct {
	*yuccalink.Hub
	lists, tables atomic.Int64
	list          atomic.Pointer[yuccawire.TargetsUpdate]
}

// newPuller connects a peer to a gateway.
func newPuller(gt *gate, listener net.Listener) *puller {
	self := yuccapeer.Member{VM: "entry-9", Centre: "odessa", Address: listener.Addr().String(), Incarnation: yuccaid.NewIncarnation("entry-9", [16]byte{9})}
	pull := &puller{}
	pull.Hub = yuccalink.New(self, yuccaid.Key("tests only"), listener, yuccalink.OnFrame(func(_ yuccaid.Incarnation, frame yuccawire.Frame) {
		switch frame.Kind {
		case yuccawire.KindTargets:
			var list yuccawire.TargetsUpdate
			if frame.Decode(&list) == nil {
				pull.list.Store(&list)
			}
			pull.lists.Add(1)
		case yuccawire.KindTable:
			pull.tables.Add(1)
		}
	}))
	DeferCleanup(pull.Close)
	pull.Connect([]string{gt.Status().Address})
	Eventually(pull.Linked).Should(HaveLen(1))
	return pull
}

// repeat requests the same thing from the gateway as often as a peer does in 0.6 seconds, since it
// gets no answer within its interval.
func (pull *puller) repeat(kind yuccawire.Kind, body any) {
	to := pull.Linked()[0].Incarnation
	for range 3 {
		Expect(pull.Send(to, kind, body)).To(Succeed())
		time.Sleep(300 * time.Millisecond)
	}
}

var _ = Describe("a peer that repeats a request because the answer takes long", func() {
	// Guards against the failure that a slow link fills with copies of what is already on its way.
	It("gets one answer, and another one when there is something new", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, newEngine("a", nil))
		pull := newPuller(gt, listen())
		pull.repeat(yuccawire.KindTargetsPull, yuccawire.TargetsPull{})
		pull.repeat(yuccawire.KindTablePull, yuccawire.TablePull{Unpacks: true})
		Expect(pull.lists.Load()).To(BeEquivalentTo(1))
		Expect(pull.tables.Load()).To(BeEquivalentTo(1))
		gt.OfferTargets([]yuccaroster.Entry{{Target: "b", Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: 2}}, nil, true, 2, true)
		Expect(gt.OfferConfiguration(encode(2, config()), "test")).To(Succeed())
		pull.repeat(yuccawire.KindTargetsPull, yuccawire.TargetsPull{Have: 1})
		pull.repeat(yuccawire.KindTablePull, yuccawire.TablePull{Have: 1, Unpacks: true})
		Expect(pull.lists.Load()).To(BeEquivalentTo(2))
		Expect(pull.tables.Load()).To(BeEquivalentTo(2))
	})

	// Guards against the failure that an answer which was lost with its connection isn't sent again.
	It("gets the answer again on a new connection", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, newEngine("a", nil))
		first := newPuller(gt, listen())
		first.repeat(yuccawire.KindTargetsPull, yuccawire.TargetsPull{})
		first.Connect(nil)
		Eventually(first.Linked).Should(BeEmpty())
		first.Connect([]string{gt.Status().Address})
		Eventually(first.Linked).Should(HaveLen(1))
		first.repeat(yuccawire.KindTargetsPull, yuccawire.TargetsPull{})
		Expect(first.lists.Load()).To(BeEquivalentTo(2))
	})
})

var _ = Describe("the list of a daemon that doesn't read the platform", func() {
	// Guards against the failure that a daemon which was cut off goes on sending requests to targets that left meanwhile, because the
	// one that it asks has never known them or remembers their removals no more.
	It("says that it is whole", func() {
		first, second := startTwo(4, newEngine("a", nil), newEngine("b", nil))
		reader, other := first, second
		if first.MaySkipPlatformReads() {
			reader, other = second, first
		}
		reader.OfferTargets([]yuccaroster.Entry{registration("c", 9, false)}, nil, false, 9, true)
		Eventually(func() int { return len(other.Status().Targets) }, 2*time.Second).Should(Equal(3))
		Expect(other.MaySkipPlatformReads()).To(BeTrue())
		pull := newPuller(other, listen())
		asked := slices.IndexFunc(pull.Linked(), func(member yuccapeer.Member) bool { return member.VM == other.Status().VM })
		Expect(pull.Send(pull.Linked()[asked].Incarnation, yuccawire.KindTargetsPull, yuccawire.TargetsPull{Have: 3})).To(Succeed())
		Eventually(pull.list.Load, time.Second).ShouldNot(BeNil())
		list := pull.list.Load()
		Expect(list.Whole).To(BeTrue())
		Expect(list.At).To(Equal(yuccaroster.Revision(9)))
		Expect(list.Entries).To(HaveLen(3))
	})
})
