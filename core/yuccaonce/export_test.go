package yuccaonce

import "yuccacleat/core/yuccaid"

// Reopen resets a request to the opened stage, without its submission and outcome.
func (own *Owner) Reopen(id yuccaid.RequestID) {
	fields, err := own.parse(id)
	if err != nil {
		return
	}
	if rec := own.records.find(fields.Counter); rec != nil {
		own.stages[rec.stage]--
		own.stages[opened]++
		own.accounts[rec.account].unsubmitted++
		rec.stage, rec.hasSubmission = opened, false
	}
}
