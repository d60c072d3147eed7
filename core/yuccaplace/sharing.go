package yuccaplace

// interference models how much requests on one target slow each other. crowding is how
// much longer a token takes in a full batch than alone, minus one. promptFactor is how
// much prompts and answers take from each other, as a fraction of what they would take
// if the target divided its time equally.
//
// Engines differ in this and change with their versions, so both values are learned
// from the owners' measurements. If they are too low, a full target looks as fast as an
// idle one and urgent requests finish late there; if they are too high, requests that
// would fit are rejected.
type interference struct {
	crowding     float64
	promptFactor float64
	fixed        bool
}

// WithInterference fixes how much requests on one target slow each other, for engines
// where that is known. Zeros describe an engine that gives each slot its own share.
func WithInterference(crowding, promptFactor float64) Option {
	return func(placer *Placer) {
		*placer.interference = interference{crowding: crowding, promptFactor: promptFactor, fixed: true}
	}
}

// learn moves the model along the error for one answer. The answer took slowdown times
// as long as alone, beside the given number of other answers per slot and with the
// share promptLoss of the time taken by prompts. Only changes of the load separate the
// parts of the model from the target's speed.
func (model *interference) learn(slowdown, others, promptLoss float64) {
	if model.fixed {
		return
	}
	residual := slowdown - (1+model.crowding*others)/(1-min(model.promptFactor*promptLoss, maxPromptLoss))
	residual = min(max(residual, -1), 1)
	model.crowding = min(max(model.crowding+interferenceStep*residual*others, 0), maxCrowding)
	model.promptFactor = min(max(model.promptFactor+interferenceStep*residual*promptLoss, 0), 1)
}
