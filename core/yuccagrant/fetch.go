package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// minFetchTokens is the smallest number of prompt tokens that a target fetches from another one.
	minFetchTokens = 512
	// fetchSetup is the time that a fetch takes in addition to the transfer.
	fetchSetup = 5 * time.Millisecond
	// fetchCostShare is the share of the time to read the same tokens that a fetch adds to the cost of a
	// target, because the transfer occupies the links of two targets and evicts other parts.
	fetchCostShare = 0.2
	// maxFetchShare bounds the time of a fetch, as a share of the time to read the same tokens.
	maxFetchShare = 0.5
	// fetchWeight is the weight of one fetch in the average success of fetches. While the average is
	// below minFetchSuccess, only one request in fetchProbeEvery fetches. From reliableFetchSuccess on,
	// the latency model learns from runs that fetched.
	fetchWeight          = 0.15
	minFetchSuccess      = 0.4
	reliableFetchSuccess = 0.7
	fetchProbeEvery      = 32
)

// available is what a target need not read of a prompt: the tokens that it holds, and those that it
// fetches from another target.
type available struct {
	tokens yuccaid.Tokens
	// from is the target from which the target fetches tokens, empty if it fetches none, and fetchTime
	// the expected time to do so.
	from      yuccaid.Target
	fetchTime time.Duration
	// fetchCost is added to the cost of the target.
	fetchCost time.Duration
}

// available returns what a target need not read of a request's prompt.
//
// To fetch a part from the memory of another target takes a small fraction of the time to read it,
// and doesn't delay the answers of other runs. So requests need not wait for the target that holds
// their parts.
func (lead *Leader) available(tgt *targetState, req *Request, base *baseline) available {
	held := lead.heldTokens(tgt, req)
	if base.holder == nil || base.holder == tgt || tgt.FetchRate <= 0 || !lead.fetches.allowed(lead.generation) {
		return available{tokens: held}
	}
	missing := base.holder.held - held
	fetchTime := fetchSetup + seconds(float64(missing)/tgt.FetchRate)
	readTime := tgt.pace * base.perToken * float64(missing)
	if missing < minFetchTokens || fetchTime > seconds(maxFetchShare*readTime) {
		return available{tokens: held}
	}
	return available{tokens: base.holder.held, from: base.holder.Name, fetchTime: fetchTime, fetchCost: seconds(fetchCostShare * readTime)}
}

// fetches records how well fetches work.
type fetches struct {
	// success is the moving average of the share of the time saved that was expected.
	success float64
}

// allowed reports whether the request with the given number may fetch. While fetches save little, for
// example because the targets don't support them, only some requests fetch.
func (ft *fetches) allowed(number uint64) bool {
	return ft.success >= minFetchSuccess || number%fetchProbeEvery == 0
}

// reliable reports whether fetches save about as much time as expected, so that the times of runs that
// fetched tell how long targets take.
func (ft *fetches) reliable() bool { return ft.success >= reliableFetchSuccess }

// learn includes the time to the first event of a run that fetched tokens. withFetch and withoutFetch
// are the times that were expected with the fetch and if the target had read the tokens.
func (ft *fetches) learn(took, withFetch, withoutFetch float64) {
	saved := (withoutFetch - took) / (withoutFetch - withFetch)
	ft.success += fetchWeight * (min(max(saved, 0), 1) - ft.success)
}
