package yuccapeer

import (
	"cmp"
	"slices"

	"yuccacleat/core/yuccaid"
)

// Status summarises the view for operators and metrics. Behind is set if another daemon has
// a higher configuration number.
type Status struct {
	Settled bool           `json:"settled"`
	Behind  bool           `json:"behind"`
	Centres []CentreStatus `json:"centres"`
}

// CentreStatus counts the daemons of one data centre. In other data centres, Live and
// Leaving include only daemons that this daemon is connected to. Gateway is set if this
// daemon is a gateway to the data centre.
type CentreStatus struct {
	Centre     yuccaid.Centre `json:"centre"`
	Candidates int            `json:"candidates"`
	Live       int            `json:"live"`
	Leaving    int            `json:"leaving"`
	Gateway    bool           `json:"gateway"`
}

// Status returns a summary of the view, with the data centres in the order of their names.
func (peers *Peers) Status() Status {
	status := Status{Settled: peers.Settled(), Behind: peers.NewerConfig() != PeerConfig{}}
	for _, listing := range peers.AllCandidates() {
		status.centre(listing.Centre).Candidates++
	}
	for _, member := range peers.members(func(Member) bool { return true }) {
		centre := status.centre(member.Centre)
		if member.Leaving {
			centre.Leaving++
			continue
		}
		centre.Live++
	}
	for centre := range peers.gatewayLinks {
		status.centre(centre).Gateway = true
	}
	return status
}

// centre returns the entry of a data centre, which it inserts in order if there is none.
func (status *Status) centre(name yuccaid.Centre) *CentreStatus {
	index, found := slices.BinarySearchFunc(status.Centres, name, func(entry CentreStatus, name yuccaid.Centre) int {
		return cmp.Compare(entry.Centre, name)
	})
	if !found {
		status.Centres = slices.Insert(status.Centres, index, CentreStatus{Centre: name})
	}
	return &status.Centres[index]
}
