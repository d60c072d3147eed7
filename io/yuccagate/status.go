package yuccagate

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// Status is the state of one gateway, for operators and tests.
type Status struct {
	VM      yuccaid.VM     `json:"vm"`
	Centre  yuccaid.Centre `json:"centre"`
	Address string         `json:"address"`
	Ready   bool           `json:"ready"`
	// Leaving reports whether the daemon is draining.
	Leaving bool `json:"leaving"`
	// Number is the number of the configuration in force, or zero if there is none.
	Number yuccaid.ConfigNumber `json:"number"`
	// SkipsPlatformReads reports whether another daemon reads the platform for this one.
	// PlatformAgeMillis is how many milliseconds ago the platform last responded to this daemon or
	// to a daemon that reads for it, or -1 if it never did.
	SkipsPlatformReads bool         `json:"rests"`
	PlatformAgeMillis  int64        `json:"platformMillis"`
	Peers              []PeerStatus `json:"peers"`
	// QuotaShare is the share of the accounts' quotas that this daemon may use.
	QuotaShare   float64 `json:"quotaPart"`
	OpenRequests int64   `json:"open"`
	// ReservedBytes is the memory reserved for open requests and for heads that are being read.
	ReservedBytes yuccaid.Bytes  `json:"heldBytes"`
	Pools         []PoolStatus   `json:"pools"`
	Targets       []TargetStatus `json:"targets"`
	// Evacuated lists the data centres that are evacuated.
	Evacuated []yuccaid.Centre `json:"evacuated"`
	// Streams is the number of streams whose origins this daemon remembers.
	Streams int `json:"streams"`
	// Accounts lists the accounts that have a quota.
	Accounts []AccountStatus `json:"accounts"`
}

// PeerStatus is another daemon to which this daemon is connected.
type PeerStatus struct {
	VM      yuccaid.VM     `json:"vm"`
	Centre  yuccaid.Centre `json:"centre"`
	Leaving bool           `json:"leaving"`
}

// PoolStatus is the state of one pool's scheduler on this daemon. SpeedTrust is how far what targets state
// about their speed is trusted, from 0 to 1.
type PoolStatus struct {
	Pool       yuccaid.Pool              `json:"pool"`
	Leader     yuccaid.VM                `json:"leader"`
	Waiting    int                       `json:"waiting"`
	SpeedTrust float64                   `json:"speedTrust"`
	Targets    []yuccagrant.TargetStatus `json:"targets"`
}

// TargetStatus is one registered target.
type TargetStatus struct {
	Target  yuccaid.Target `json:"target"`
	Pool    yuccaid.Pool   `json:"pool"`
	Centre  yuccaid.Centre `json:"centre"`
	Address string         `json:"address"`
	Leaving bool           `json:"leaving"`
	// Version is the version of the target's software, empty if the target doesn't state it.
	Version yuccaid.Version `json:"version"`
}

// AccountStatus is an account's usage within its quota's window by all daemons, as far as this
// daemon has received it, and the limit that applies to that usage. Leader is the daemon that decides
// on the account's requests in this data centre, or empty if none is known.
type AccountStatus struct {
	Account yuccaid.Account `json:"account"`
	Used    int64           `json:"used"`
	Limit   int64           `json:"limit"`
	Leader  yuccaid.VM      `json:"leader"`
}

// Status returns the gateway's present state.
func (gate *Gate) Status() Status {
	var status Status
	gate.control.Call(func(now time.Time) { status = gate.status(now) })
	return status
}

// status returns the state; it runs on the control goroutine.
func (gate *Gate) status(now time.Time) Status {
	status := Status{
		VM: gate.settings.VM, Centre: gate.settings.Centre, Address: gate.settings.Address, Ready: gate.Ready(), Leaving: gate.draining(),
		Number: gate.configurationNumber(), SkipsPlatformReads: gate.skipsPlatformReads.Load(), PlatformAgeMillis: -1,
		QuotaShare: gate.ledger.QuotaShare(), OpenRequests: gate.openRequests.Load(), ReservedBytes: gate.memory.reserved() + gate.heads.reserved(),
		Streams: gate.origins.memory.Len(),
	}
	if age := gate.platformAge(now); age >= 0 {
		status.PlatformAgeMillis = age.Milliseconds()
	}
	for _, member := range gate.hub.Linked() {
		status.Peers = append(status.Peers, PeerStatus{VM: member.VM, Centre: member.Centre, Leaving: member.Leaving})
	}
	for _, sched := range gate.schedulers {
		status.Pools = append(status.Pools, PoolStatus{
			Pool:       sched.pool,
			Leader:     sched.leader.VM,
			Waiting:    sched.local.QueueLength(),
			SpeedTrust: sched.local.SpeedTrust(),
			Targets:    sched.local.Targets(now),
		})
	}
	slices.SortFunc(status.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	for _, entry := range gate.roster.Targets() {
		status.Targets = append(status.Targets, TargetStatus{
			Target: entry.Target, Pool: entry.Pool, Centre: entry.Centre, Address: entry.Address, Leaving: entry.Leaving, Version: entry.Version,
		})
	}
	status.Evacuated = slices.Sorted(maps.Keys(gate.roster.EvacuatedCentres()))
	for _, usage := range gate.ledger.QuotaUsages(now) {
		leader, _ := gate.accountLeader(usage.Account)
		status.Accounts = append(status.Accounts, AccountStatus{Account: usage.Account, Used: usage.Used, Limit: usage.Limit, Leader: leader.VM})
	}
	return status
}
