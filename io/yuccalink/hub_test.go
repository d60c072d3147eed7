package yuccalink_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

const soon = 30 * time.Second

var key = yuccaid.Key("fleet key for tests")

// journal notes what a hub called, in order.
type journal struct {
	mu    sync.Mutex
	lines []string
	texts []string
	fails []error
}

func (jrn *journal) line(text string) {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	jrn.lines = append(jrn.lines, text)
}

func (jrn *journal) all() []string {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	return append([]string{}, jrn.lines...)
}

func (jrn *journal) frames() []string {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	return append([]string{}, jrn.texts...)
}

// causes returns the innermost errors of what went wrong.
func (jrn *journal) causes() []error {
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	var causes []error
	for _, err := range jrn.fails {
		causes = append(causes, eris.Cause(err))
	}
	return causes
}

func (jrn *journal) take(from yuccaid.Incarnation, frame yuccawire.Frame) {
	var text string
	err := frame.Decode(&text)
	jrn.mu.Lock()
	defer jrn.mu.Unlock()
	if err != nil {
		text = err.Error()
	}
	jrn.texts = append(jrn.texts, text)
}

// open starts a hub that is closed with the spec.
func open(at place, with yuccaid.Key, options ...yuccalink.Option) (*yuccalink.Hub, *journal) {
	jrn := &journal{}
	own := []yuccalink.Option{
		yuccalink.OnFrame(jrn.take),
		yuccalink.OnUp(func(up yuccapeer.Member) { jrn.line("up " + up.Incarnation.String()) }),
		yuccalink.OnDown(func(down yuccapeer.Member) { jrn.line("down " + down.Incarnation.String()) }),
		yuccalink.OnFault(func(_ string, err error) {
			jrn.mu.Lock()
			defer jrn.mu.Unlock()
			jrn.fails = append(jrn.fails, err)
		}),
	}
	hub := yuccalink.New(at.Member, with, at.listener, append(own, options...)...)
	DeferCleanup(hub.Close)
	return hub, jrn
}

var _ = Describe("two hubs", func() {
	It("carry messages in the order of one connection, both ways", func() {
		one, two := member("vm-1", listen()), member("vm-2", listen())
		first, heardFirst := open(one, key)
		second, heardSecond := open(two, key)
		first.Connect([]string{two.Address})
		Eventually(heardFirst.all, soon).Should(Equal([]string{"up " + two.Incarnation.String()}))
		Eventually(heardSecond.all, soon).Should(Equal([]string{"up " + one.Incarnation.String()}))
		for _, text := range []string{"a", "b", "c"} {
			Expect(first.Send(two.Incarnation, kindTest, text)).To(Succeed())
			Expect(second.Send(one.Incarnation, kindTest, text)).To(Succeed())
		}
		Eventually(heardFirst.frames, soon).Should(Equal([]string{"a", "b", "c"}))
		Eventually(heardSecond.frames, soon).Should(Equal([]string{"a", "b", "c"}))
	})

	It("stay apart when their keys differ, and say which settings to look at", func() {
		one, two := member("vm-1", listen()), member("vm-2", listen())
		first, heardFirst := open(one, key)
		_, heardSecond := open(two, yuccaid.Key("another fleet's"))
		first.Connect([]string{two.Address})
		isKeyError := ContainElement(BeAssignableToTypeOf(&yuccawire.KeyError{}))
		Eventually(heardFirst.causes, soon).Should(isKeyError)
		Eventually(heardSecond.causes, soon).Should(isKeyError)
		Expect(heardFirst.all()).To(BeEmpty())
		Expect(heardSecond.all()).To(BeEmpty())
		Expect(first.Send(two.Incarnation, kindTest, "a")).To(MatchError(yuccalink.ErrNoLink))
	})
})
