package yuccaplace

// interference models how much requests on one target slow each other. crowding is by
// how much a full batch slows a token: 1 means that the token takes twice as long as
// alone. promptFactor is how much time prompts and answers take from each other, as a
// fraction of the time that they would take if the target divided its time equally.
//
// Engines differ in this and change with their versions, so both values are learned
// from the measurements of the daemons that own the requests. If they are too low, a
// full target looks as fast as an idle one and urgent requests finish late there; if
// they are too high, requests that would fit are rejected.
type interference struct {
	crowding     float64
	promptFactor float64
	fixed        bool // set by WithInterference; learn then changes nothing
}

// WithInterference fixes how much requests on one target slow each other, for engines
// where this is known. Zeros describe an engine where requests don't slow each other,
// because each slot has its own fixed share.
func WithInterference(crowding, promptFactor float64) Option {
	return func(placer *Placer) {
		*placer.interference = interference{crowding: crowding, promptFactor: promptFactor, fixed: true}
	}
}

// learn corrects both values by a gradient step on the model's error for one answer.
// The answer took slowdown times as long as it would have taken alone, beside the given
// number of other answers per slot and with the share promptLoss of the time taken by
// prompts. The two values and the target's own rate can be told apart only because the
// load changes.
func (model *interference) learn(slowdown, others, promptLoss float64) {
	if model.fixed {
		return
	}
	residual := slowdown - (1+model.crowding*others)/(1-min(model.promptFactor*promptLoss, maxPromptLoss))
	residual = min(max(residual, -1), 1)
	model.crowding = min(max(model.crowding+interferenceStep*residual*others, 0), maxCrowding)
	model.promptFactor = min(max(model.promptFactor+interferenceStep*residual*promptLoss, 0), 1)
}
