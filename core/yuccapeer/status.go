package yuccapeer

import (
	"cmp"
	"slices"

	"yuccacleat/core/yuccaid"
)

// Status is the view as operators and metrics see it.
type Status struct {
	Settled bool           `json:"settled"`
	Behind  bool           `json:"behind"`
	Centres []CentreStatus `json:"centres"`
}

// CentreStatus counts one data centre's daemons. Of other data centres a daemon only
// hears the few that it is connected to.
type CentreStatus struct {
	Centre     yuccaid.Centre `json:"centre"`
	Candidates int            `json:"candidates"`
	Live       int            `json:"live"`
	Leaving    int            `json:"leaving"`
	Gateway    bool           `json:"gateway"`
}

// Status returns the view in numbers, in the order of the data centres' names.
func (peers *Peers) Status() Status {
	status := Status{Settled: peers.Settled(), Behind: peers.NewerConfig() != PeerConfig{}}
	for _, listing := range peers.Roster() {
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

// centre returns the entry of a data centre and makes it in its place.
func (status *Status) centre(name yuccaid.Centre) *CentreStatus {
	place, found := slices.BinarySearchFunc(status.Centres, name, func(one CentreStatus, name yuccaid.Centre) int {
		return cmp.Compare(one.Centre, name)
	})
	if !found {
		status.Centres = slices.Insert(status.Centres, place, CentreStatus{Centre: name})
	}
	return &status.Centres[place]
}
