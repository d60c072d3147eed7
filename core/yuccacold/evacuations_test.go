package yuccacold_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
)

var _ = Describe("the leader of an evacuated data centre", func() {
	start := time.Unix(1_700_000_000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	evacuated := map[yuccaid.Centre]bool{"odessa": true}

	// Guards against the failure that leaders which learn of an evacuation or its end at different times together exceed their shares.
	It("comes first no sooner and no longer than the others make room for it", func() {
		for _, late := range []int{0, 300, 900} {
			var here, there yuccacold.Evacuations
			here.Update(at(0), evacuated)
			there.Update(at(late), evacuated)
			endHere, endThere := 10_000, 10_000-late
			for millis := 0; millis < 15_000; millis += 50 {
				if millis >= endHere {
					here.Update(at(millis), nil)
				}
				if millis >= endThere {
					there.Update(at(millis), nil)
				}
				first := len(here.Preferred(at(millis), "odessa")) > 0
				room := millis >= late && len(there.Preferred(at(millis), "austin")) > 0
				Expect(first && !room).To(BeFalse(), "%d ms, learned %d ms later", millis, late)
			}
			Expect(here.Preferred(at(5000), "odessa")).To(BeEmpty())
		}
	})

	It("comes first from a second after it has learned of the evacuation until its end", func() {
		var ev yuccacold.Evacuations
		Expect(ev.Preferred(start, "austin")).To(BeEmpty())
		ev.Update(start, evacuated)
		Expect(ev.Preferred(start, "odessa")).To(BeEmpty())
		Expect(ev.Preferred(start, "austin")).To(Equal([]yuccaid.Centre{"odessa"}))
		Expect(ev.Preferred(at(1000), "odessa")).To(Equal([]yuccaid.Centre{"odessa"}))
		ev.Update(at(5000), nil)
		Expect(ev.Preferred(at(5000), "odessa")).To(BeEmpty())
		Expect(ev.Preferred(at(6900), "austin")).To(Equal([]yuccaid.Centre{"odessa"}))
		Expect(ev.Preferred(at(7000), "austin")).To(BeEmpty())
	})

	It("comes first again if its data centre is evacuated again", func() {
		var ev yuccacold.Evacuations
		ev.Update(start, evacuated)
		ev.Update(at(5000), nil)
		ev.Update(at(5500), evacuated)
		Expect(ev.Preferred(at(5600), "odessa")).To(BeEmpty())
		Expect(ev.Preferred(at(6500), "odessa")).To(HaveLen(1))
		Expect(ev.Preferred(at(9000), "austin")).To(HaveLen(1))
	})
})
