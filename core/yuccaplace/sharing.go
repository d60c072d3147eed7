package yuccaplace

// sharing is how much the requests on one target slow each other: answers one another
// (crowding, how much longer a token takes in a full batch than alone, less one), and
// prompts the answers and the reverse (prompts, the part of what equal shares of the
// target's time would do).
//
// Engines differ in this and change with their versions, so it is learned from what
// the owners see. Taken as nothing, a full target looks as quick as an idle one, and
// urgent requests end late there; taken as too much, requests that fit are refused.
type sharing struct {
	crowding float64
	prompts  float64
	fixed    bool
}

// WithInterference fixes how much requests on one target slow each other, for engines where
// that is known; zeros are for ones that give each slot its own share.
func WithInterference(crowding, prompts float64) Option {
	return func(fleet *Placer) { *fleet.sharing = sharing{crowding: crowding, prompts: prompts, fixed: true} }
}

// learn moves the model along the error of one answer: how many times longer than
// alone it took, beside how many answers and with what part of the time lost to
// prompts. Only changes of the load tell the parts of the model from the speed.
func (shr *sharing) learn(longer, company, lost float64) {
	if shr.fixed {
		return
	}
	miss := longer - (1+shr.crowding*company)/(1-min(shr.prompts*lost, mostLost))
	miss = min(max(miss, -1), 1)
	shr.crowding = min(max(shr.crowding+sharingStep*miss*company, 0), mostSharing)
	shr.prompts = min(max(shr.prompts+sharingStep*miss*lost, 0), 1)
}
