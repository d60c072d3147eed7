package yuccaonce

import "yuccacleat/core/yuccaid"

// Reopen makes the owner forget that a request was submitted and how it ended.
func (own *Owner) Reopen(text yuccaid.RequestID) {
	req, err := own.parse(text)
	if err != nil {
		return
	}
	if rec := own.held.find(req.Counter); rec != nil {
		own.stages[rec.stage]--
		own.stages[opened]++
		own.accounts[rec.account].unsubmitted++
		rec.stage, rec.known = opened, false
	}
}
