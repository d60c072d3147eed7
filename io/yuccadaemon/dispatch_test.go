package yuccadaemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccatarget"
)

// A target took a request and broke off; the resume could not even connect. The cause
// of the lost answer is then an unsent call, and a caller who heard "not run" would
// send a ticket a second time.
var _ = DescribeTable("what is said of a call",
	func(err error, preempted yuccaonce.Reason, pieces int, expected yuccaonce.Run, partial bool) {
		result := resultOf(&run{preempted: preempted}, yuccatarget.End{}, err, pieces)
		Expect(result.Run).To(Equal(expected))
		Expect(result.Partial).To(Equal(partial))
	},
	Entry("whole", nil, yuccaonce.Reason(""), 3, yuccaonce.Ran, false),
	Entry("unsent", &yuccatarget.UnsentError{}, yuccaonce.Reason(""), 0, yuccaonce.NotRun, false),
	Entry("lost for an unsent resume", &yuccatarget.LostError{Cause: &yuccatarget.UnsentError{}}, yuccaonce.Reason(""), 0, yuccaonce.Unknown, false),
	Entry("lost for a refused resume", &yuccatarget.LostError{Cause: &yuccatarget.RefusedError{}}, yuccaonce.Reason(""), 2, yuccaonce.Unknown, true),
	Entry("refused", &yuccatarget.RefusedError{}, yuccaonce.Reason(""), 0, yuccaonce.NotRun, false),
	Entry("leaving", &yuccatarget.LeavingError{}, yuccaonce.Reason(""), 0, yuccaonce.NotRun, false),
	Entry("broken", &yuccatarget.BrokenError{}, yuccaonce.Reason(""), 2, yuccaonce.Ran, true),
	Entry("cancelled by the target", &yuccatarget.CancelledError{}, yuccaonce.Reason(""), 2, yuccaonce.Ran, true),
	Entry("preempted in the middle", &yuccatarget.LostError{}, yuccaonce.ReasonPreempted, 2, yuccaonce.Ran, true),
	Entry("preempted before the first piece", &yuccatarget.LostError{}, yuccaonce.ReasonPreempted, 0, yuccaonce.Unknown, false),
)
