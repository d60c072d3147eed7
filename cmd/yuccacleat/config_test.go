package main_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

// reweigh is a note that changes something and disturbs nothing.
func (fl *fleet) reweigh(weight int) yuccastate.Note {
	note := yuccastate.Note{Author: "test operator"}
	account := fl.state.Accounts["stranger"]
	account.Weight = weight
	note.Changed.Accounts = map[yuccaid.Account]yuccastate.Account{"stranger": account}
	return note
}

// measured puts a figure into the report of a run with -ginkgo.v.
func measured(what string, took time.Duration) {
	GinkgoWriter.Printf("MEASURED %s: %v\n", what, took.Round(time.Millisecond))
}

// configurationSpecs are about release notes on a fleet that the platform fails.
func configurationSpecs(the func() *fleet) {
	// Five of seven VMs lose the way to the platform. A daemon that only listened to
	// the platform would refuse or misplace requests by an old note for hours.
	It("has a new note everywhere when five daemons can't reach the platform", func() {
		fl := the()
		for _, dm := range fl.daemons[2:] {
			dm.gate.cut()
		}
		longest := time.Duration(0)
		for weight := 2; weight < 7; weight++ {
			fl.publish(fl.reweigh(weight))
			began := time.Now()
			fl.inForce()
			longest = max(longest, time.Since(began))
		}
		measured("publish to in force on 7 daemons, 5 without platform, longest of 5", longest)
		for _, dm := range fl.daemons {
			dm.gate.let()
		}
	})

	// The platform's service fails over to a copy that is five notes old, and then a VM
	// is replaced. The new process reads the old notes from the platform; if it served
	// by them, withdrawn targets and accounts would be back.
	It("never goes back when the platform does and a VM is replaced", func() {
		fl := the()
		fl.publish(fl.reweigh(8))
		fl.inForce()
		faults(fl.platform, yuccastand.PlatformFaults{StaleRevision: 1})
		fresh := fl.replace(fl.daemons[6])
		Eventually(func(g Gomega) bool {
			status := fresh.status(g)
			Expect(status.Ready && status.Number < fl.state.Number).To(BeFalse(), "serves by note %d", status.Number)
			return status.Ready
		}).WithTimeout(patience).WithPolling(pollEach).Should(BeTrue())
		fl.settle()
		faults(fl.platform, yuccastand.PlatformFaults{})
		fl.settle()
		for _, dm := range fl.daemons {
			last := yuccaid.ConfigNumber(0)
			for _, entry := range dm.audit(Default) {
				if entry.Kind == yuccadaemon.AuditKind(yuccastate.EntryAccepted) || entry.Kind == yuccadaemon.AuditKind(yuccastate.EntryAdopted) {
					Expect(entry.Number).To(BeNumerically(">", last))
					last = entry.Number
				}
			}
			Expect(last).To(Equal(fl.state.Number))
		}
	})

	// An operator wrote a note against a configuration that had meanwhile changed. If
	// some daemons took it and others not, the fleet would run two configurations.
	It("refuses a note with a wrong base alike everywhere", func() {
		fl := the()
		note := fl.reweigh(9)
		note.Number = fl.state.Number + 1
		note.Base = yuccastate.Empty().Digest()
		put(fl.platform, "/control/keys/"+yuccastate.NoteKey(note.Number), note.Canonical())
		details := make(map[string]int)
		for _, dm := range fl.daemons {
			var refused yuccadaemon.AuditEntry
			Eventually(func(g Gomega) {
				g.Expect(dm.audit(g)).To(ContainElement(And(
					HaveField("Kind", BeEquivalentTo(yuccastate.EntryRefused)), HaveField("Number", note.Number)), &refused))
			}).WithTimeout(patience).WithPolling(pollEach).Should(Succeed())
			Expect(refused.Before).To(Equal(fl.state.Digest()))
			Expect(refused.After).To(Equal(fl.state.Digest()))
			details[refused.Detail]++
		}
		Expect(details).To(HaveLen(1))
		fl.publish(fl.reweigh(10))
		fl.inForce()
	})

	// Two operators publish different notes under the same number, and a cut lets each
	// side of the fleet read another one. No side may go back, yet the fleet must not
	// stay in two halves: the next note brings both to one content.
	It("settles two operators' race alike on both sides of a cut", func() {
		fl := the()
		before := fl.state
		here := func(vm yuccaid.VM) bool { return vm <= "entry-3" }
		fl.cut(func(from, to yuccaid.VM) bool { return here(from) != here(to) })
		contents := make(map[yuccaid.Digest]int)
		for weight, side := range map[int]bool{11: true, 12: false} {
			for _, dm := range fl.daemons {
				dm.gate.cut()
			}
			note := fl.reweigh(weight)
			note.Number = before.Number + 1
			note.Base = before.Digest()
			put(fl.platform, "/control/keys/"+yuccastate.NoteKey(note.Number), note.Canonical())
			for _, dm := range fl.daemons {
				if here(dm.name) != side {
					continue
				}
				dm.gate.let()
				Eventually(func(g Gomega) { g.Expect(dm.status(g).Number).To(Equal(note.Number)) }).
					WithTimeout(patience).WithPolling(pollEach).Should(Succeed())
				contents[dm.status(Default).Digest]++
			}
			fl.state, _ = before.Apply(note)
		}
		Expect(contents).To(HaveLen(2))
		fl.cut(nil)
		for _, dm := range fl.daemons {
			dm.gate.let()
			Eventually(dm.audit).WithTimeout(patience).WithPolling(pollEach).
				Should(ContainElement(HaveField("Kind", BeEquivalentTo(yuccastate.EntryAlarm))))
		}
		began := time.Now()
		fl.publish(fl.reweigh(13))
		fl.inForce()
		measured("a forked fleet of 7 on one content after the next note", time.Since(began))
		fl.settle()
	})
}
