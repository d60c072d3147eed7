package yuccalink_test

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

const soon = 30 * time.Second

var key = yuccaid.Key("fleet key for tests")

// recorded collects what a hub's goroutines report.
type recorded[T any] struct {
	mu    sync.Mutex
	items []T
}

func (rec *recorded[T]) add(item T) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.items = append(rec.items, item)
}

func (rec *recorded[T]) all() []T {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]T{}, rec.items...)
}

// recorder records the calls that a hub makes.
type recorder struct {
	lines, texts recorded[string]
	faults       recorded[error]
}

func (rec *recorder) all() []string    { return rec.lines.all() }
func (rec *recorder) frames() []string { return rec.texts.all() }
func (rec *recorder) causes() []error  { return rec.faults.all() }

// open starts a hub that is closed at the end of the spec.
func open(at place, with yuccaid.Key, options ...yuccalink.Option) (*yuccalink.Hub, *recorder) {
	rec := &recorder{}
	own := []yuccalink.Option{
		yuccalink.OnFrame(func(_ yuccaid.Incarnation, frame yuccawire.Frame) {
			var text string
			if err := frame.Decode(&text); err != nil {
				text = err.Error()
			}
			rec.texts.add(text)
		}),
		yuccalink.OnUp(func(up yuccapeer.Member) { rec.lines.add("up " + up.Incarnation.String()) }),
		yuccalink.OnDown(func(down yuccapeer.Member) { rec.lines.add("down " + down.Incarnation.String()) }),
		yuccalink.OnFault(func(_ string, err error) { rec.faults.add(eris.Cause(err)) }),
	}
	hub := yuccalink.New(at.Member, with, at.listener, append(own, options...)...)
	DeferCleanup(hub.Close)
	return hub, rec
}

// quick returns limits that are short enough for a spec to wait for them.
func quick() yuccalink.Limits {
	limits := yuccalink.DefaultLimits()
	limits.Silence = time.Second
	limits.KeepAliveEvery = 100 * time.Millisecond
	limits.Write = time.Second
	limits.Handshake = time.Second
	limits.FirstBackoff = 10 * time.Millisecond
	limits.LastBackoff = 100 * time.Millisecond
	limits.Linger = 50 * time.Millisecond
	return limits
}

// count returns a hub's count of one kind.
func count(hub *yuccalink.Hub, kind yuccawire.Kind) yuccalink.Count {
	for _, found := range hub.Counts() {
		if found.Kind == kind {
			return found
		}
	}
	return yuccalink.Count{}
}

func beType(err error) types.GomegaMatcher { return ContainElement(BeAssignableToTypeOf(err)) }

// sends returns a function that sends a text, for assertions on a send that may fail at first.
func sends(hub *yuccalink.Hub, to place, text string) func() error {
	return func() error { return hub.Send(to.Incarnation, kindTest, text) }
}

var _ = Describe("control connections", func() {
	var one, two place
	BeforeEach(func() { one, two = member("vm-1", listen()), member("vm-2", listen()) })

	It("carry messages in order both ways, counted by kind", func() {
		first, heardFirst := open(one, key)
		second, heardSecond := open(two, key)
		first.Connect([]string{one.Address, two.Address})
		Eventually(heardFirst.all, soon).Should(Equal([]string{"up " + two.Incarnation.String()}))
		Eventually(heardSecond.all, soon).Should(Equal([]string{"up " + one.Incarnation.String()}))
		for _, text := range []string{"a", "b", "c"} {
			Expect(first.Send(two.Incarnation, kindTest, text)).To(Succeed())
			Expect(second.Send(one.Incarnation, kindTest, text)).To(Succeed())
		}
		Eventually(heardFirst.frames, soon).Should(Equal([]string{"a", "b", "c"}))
		Eventually(heardSecond.frames, soon).Should(Equal([]string{"a", "b", "c"}))
		Expect(count(first, kindTest)).To(Equal(yuccalink.Count{
			Kind: kindTest, MessagesSent: 3, MessagesReceived: 3, BytesSent: 24, BytesReceived: 24,
		}))
		Expect(first.Linked()).To(Equal([]yuccapeer.Member{two.Member}))
	})

	// The key file of another fleet is put on a VM. If its daemon weren't refused, it would join, and
	// answers would go to the callers of another fleet.
	It("don't come up when the keys differ, and both ends say why", func() {
		first, heardFirst := open(one, key)
		_, heardSecond := open(two, yuccaid.Key("another fleet's"))
		first.Connect([]string{two.Address})
		Eventually(heardFirst.causes, soon).Should(beType(&yuccawire.KeyError{}))
		Eventually(heardSecond.causes, soon).Should(beType(&yuccawire.KeyError{}))
		Expect(append(heardFirst.all(), heardSecond.all()...)).To(BeEmpty())
		Expect(first.Send(two.Incarnation, kindTest, "a")).To(MatchError(yuccalink.ErrNoLink))
	})

	// A firewall between two daemons restarts and loses its state, and neither end gets an error. A user
	// would wait for a grant that was sent and never arrives.
	DescribeTable("are replaced when they go silent while new ones work",
		func(near, far bool) {
			rel := newRelay(two.Address)
			first, heardFirst := open(one, key, yuccalink.WithLimits(quick()))
			_, heardSecond := open(two, key, yuccalink.WithLimits(quick()))
			first.Connect([]string{rel.address()})
			Eventually(sends(first, two, "before"), soon).Should(Succeed())
			Eventually(heardSecond.frames, soon).Should(ContainElement("before"))
			rel.forget(near, far)
			first.Send(two.Incarnation, kindTest, "into the void")
			up := "up " + two.Incarnation.String()
			Eventually(heardFirst.all, soon).Should(HaveExactElements(up, "down "+two.Incarnation.String(), up))
			Eventually(func() []string {
				first.Send(two.Incarnation, kindTest, "after")
				return heardSecond.frames()
			}, soon).Should(ContainElement("after"))
			causes := append(heardFirst.causes(), heardSecond.causes()...)
			Expect(causes).To(beType(&yuccalink.SilentError{}))
		},
		Entry("both ways", true, true),
		Entry("from the dialler", true, false),
		Entry("towards the dialler", false, true),
	)

	It("stay up while nobody has anything to say", func() {
		limits := quick()
		limits.Silence = 3 * time.Second
		limits.KeepAliveEvery = 20 * time.Millisecond
		first, heardFirst := open(one, key, yuccalink.WithLimits(limits))
		open(two, key, yuccalink.WithLimits(limits))
		first.Connect([]string{two.Address})
		Eventually(func() uint64 {
			return count(first, yuccawire.KindKeepAlive).MessagesReceived
		}, soon).Should(BeNumerically(">", 200))
		Expect(heardFirst.all()).To(HaveLen(1))
	})

	// Two daemons start together and dial each other. If both connections were kept, each heartbeat would
	// cost twice as much. If each end closed one of its choice, both could be closed.
	It("come down to one when both ends dialled", func() {
		first, heardFirst := open(one, key, yuccalink.WithLimits(quick()))
		second, heardSecond := open(two, key, yuccalink.WithLimits(quick()))
		first.Connect([]string{newRelay(two.Address).address()})
		second.Connect([]string{newRelay(one.Address).address()})
		Eventually(func() int {
			first.Send(two.Incarnation, kindTest, "a")
			second.Send(one.Incarnation, kindTest, "b")
			return first.Links() + second.Links()
		}, soon).Should(Equal(2))
		Expect(heardFirst.all()).To(HaveLen(1))
		Expect(heardSecond.all()).To(HaveLen(1))
	})

	It("come back after a cut and after the peer's restart at its address", func() {
		rel := newRelay(two.Address)
		first, heard := open(one, key, yuccalink.WithLimits(quick()))
		second, _ := open(two, key, yuccalink.WithLimits(quick()))
		first.Connect([]string{rel.address()})
		Eventually(heard.all, soon).Should(HaveLen(1))
		rel.cut()
		Eventually(heard.all, soon).Should(HaveLen(3))
		second.Close()
		listener, err := net.Listen("tcp", two.Address)
		Expect(err).NotTo(HaveOccurred())
		again := member("vm-2", listener)
		open(again, key, yuccalink.WithLimits(quick()))
		Eventually(heard.all, soon).Should(HaveExactElements(
			"up "+two.Incarnation.String(), "down "+two.Incarnation.String(),
			"up "+two.Incarnation.String(), "down "+two.Incarnation.String(),
			"up "+again.Incarnation.String(),
		))
	})

	// A VM is replaced while its old process is paused. When the process resumes, it dials the others. If
	// it were accepted, it would lead pools with an old queue. If it were taken for the successor, the
	// real successor would be refused.
	DescribeTable("of a replaced daemon end, and it isn't let back in",
		func(oldFirst bool) {
			first, heard := open(one, key, yuccalink.WithLimits(quick()))
			successor := member("vm-2", listen())
			rel := newRelay(two.listener.Addr().String())
			two.Address, successor.Address = rel.address(), rel.address()
			old, _ := open(two, key, yuccalink.WithLimits(quick()))
			fresh, _ := open(successor, key, yuccalink.WithLimits(quick()))
			if oldFirst {
				old.Connect([]string{one.Address})
				Eventually(heard.all, soon).Should(HaveLen(1))
			}
			rel.turnTo(successor.listener.Addr().String())
			fresh.Connect([]string{one.Address})
			Eventually(first.Linked, soon).Should(Equal([]yuccapeer.Member{successor.Member}))
			before := heard.all()
			old.Connect([]string{one.Address})
			Eventually(func() int {
				refused := slices.DeleteFunc(heard.causes(), func(err error) bool {
					return !eris.As(err, new(*yuccalink.ReplacedError))
				})
				return len(refused)
			}, soon).Should(BeNumerically(">=", 3))
			Expect(heard.all()).To(Equal(before))
			Expect(first.Linked()).To(Equal([]yuccapeer.Member{successor.Member}))
		},
		Entry("that was known", true),
		Entry("that comes only after its successor", false),
	)

	// Guards against the failure that a daemon stands still for good once another one has been replaced, because the fault is
	// told while the hub is locked.
	It("of a replaced daemon end while faults are taken by someone who uses the hub", func() {
		var hub atomic.Pointer[yuccalink.Hub]
		told := make(chan struct{})
		tell := sync.OnceFunc(func() { close(told) })
		first, heard := open(one, key, yuccalink.WithLimits(quick()), yuccalink.OnFault(func(_ string, err error) {
			if eris.As(err, new(*yuccalink.ReplacedError)) {
				hub.Load().Linked()
				tell()
			}
		}))
		hub.Store(first)
		successor := member("vm-2", listen())
		rel := newRelay(two.listener.Addr().String())
		two.Address, successor.Address = rel.address(), rel.address()
		old, _ := open(two, key, yuccalink.WithLimits(quick()))
		fresh, _ := open(successor, key, yuccalink.WithLimits(quick()))
		old.Connect([]string{one.Address})
		Eventually(heard.all, soon).Should(HaveLen(1))
		rel.turnTo(successor.listener.Addr().String())
		fresh.Connect([]string{one.Address})
		Eventually(told, 5*time.Second).Should(BeClosed())
		Eventually(first.Linked, soon).Should(Equal([]yuccapeer.Member{successor.Member}))
	})

	It("that were dialled close when they are no longer wished for", func() {
		first, heardFirst := open(one, key)
		_, heardSecond := open(two, key)
		first.Connect([]string{two.Address})
		Eventually(heardFirst.all, soon).Should(HaveLen(1))
		first.Connect(nil)
		Eventually(heardFirst.all, soon).Should(HaveLen(2))
		Eventually(heardSecond.all, soon).Should(HaveLen(2))
		Expect(append(heardFirst.causes(), heardSecond.causes()...)).To(BeEmpty())
	})

	// A daemon shuts down right after it has handed over its pools. If its queued messages were lost, its
	// successor would have to wait for timeouts.
	It("send what is queued before a graceful close", func() {
		limits := yuccalink.DefaultLimits()
		limits.Farewell = soon
		first, heardFirst := open(one, key, yuccalink.WithLimits(limits))
		_, heardSecond := open(two, key, yuccalink.WithLimits(limits))
		first.Connect([]string{two.Address})
		Eventually(heardFirst.all, soon).Should(HaveLen(1))
		// This is more than the operating system's buffers hold, so most of it stays queued.
		large := strings.Repeat("x", 7<<10)
		for range 1000 {
			Expect(first.Send(two.Incarnation, kindTest, large)).To(Succeed())
		}
		first.Close()
		Eventually(heardSecond.all, soon).Should(HaveLen(2))
		Expect(heardSecond.frames()).To(HaveLen(1000))
		Expect(heardFirst.all()).To(HaveLen(2))
		_, err := first.Dial(context.Background(), two.Address)
		Expect(err).To(HaveOccurred())
	})

	// A peer's process hangs with its connections open. Its queue must neither grow without a bound nor
	// delay the messages to other peers.
	It("refuse more for a peer that doesn't read, and others still get theirs", func() {
		hung := member("vm-3", listen())
		go hang(hung)
		DeferCleanup(hung.listener.Close)
		first, heard := open(one, key, yuccalink.WithLimits(quick()))
		open(two, key, yuccalink.WithLimits(quick()))
		first.Connect([]string{two.Address, hung.Address})
		Eventually(first.Linked, soon).Should(HaveLen(2))
		large := strings.Repeat("x", 1<<20)
		Eventually(sends(first, hung, large), soon, "1ns").Should(MatchError(yuccalink.ErrBacklog))
		Expect(first.Send(two.Incarnation, kindTest, "a")).To(Succeed())
		Eventually(heard.causes, soon).Should(Or(beType(&yuccalink.StuckError{}), beType(&yuccalink.SilentError{})))
	})

	// A client without the key opens connections and sends nothing. If these took up all handshakes, a
	// restarted daemon could reach nobody.
	It("come up while strangers hold every handshake", func() {
		limits := quick()
		limits.HalfOpen = 4
		limits.Handshake = time.Hour
		first, heard := open(one, key, yuccalink.WithLimits(limits))
		var strangers []net.Conn
		for range 20 {
			conn, err := net.Dial("tcp", one.Address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			strangers = append(strangers, conn)
		}
		noise, err := net.Dial("tcp", one.Address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(noise.Close)
		noise.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		_, err = io.ReadAll(strangers[0])
		Expect(err).To(Or(Not(HaveOccurred()), MatchError(syscall.ECONNRESET)))
		second, _ := open(two, key, yuccalink.WithLimits(quick()))
		second.Connect([]string{one.Address})
		Eventually(heard.all, soon).Should(HaveLen(1))
		Expect(first.HalfOpen()).To(BeNumerically("<=", 4))
		Eventually(heard.causes, soon).Should(beType(&yuccawire.OversizedError{}))
	})

	It("lead nowhere when the address is the daemon's own", func() {
		first, heard := open(one, key)
		first.Connect([]string{newRelay(one.Address).address()})
		Eventually(heard.causes, soon).Should(beType(&yuccalink.SelfError{}))
		Expect(first.Linked()).To(BeEmpty())
	})
})

// hang accepts connections and then reads nothing. It keeps the connections that it has accepted,
// because the garbage collector would close them otherwise.
func hang(at place) {
	var held []net.Conn
	defer func() {
		for _, conn := range held {
			conn.Close()
		}
	}()
	for {
		conn, err := at.listener.Accept()
		if err != nil {
			return
		}
		held = append(held, conn)
		yuccawire.HandshakeAccept(conn, key, yuccawire.Hello{
			Incarnation: at.Incarnation.String(), Centre: at.Centre, Address: at.Address,
		})
	}
}
