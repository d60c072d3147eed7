package yuccagate

import (
	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// Outlook is where one daemon would send a request now, and why.
type Outlook struct {
	VM     yuccaid.VM     `json:"vm"`
	Centre yuccaid.Centre `json:"centre"`
	// Number is that of the configuration in force.
	Number yuccaid.ConfigNumber `json:"number"`
	// PlatformAgeMillis is how many milliseconds ago the platform last responded, or -1 if it never did.
	PlatformAgeMillis int64           `json:"platformMillis"`
	Route             string          `json:"route,omitempty"`
	Account           yuccaid.Account `json:"account,omitempty"`
	// Problem is why the daemon would refuse the request before a target is chosen, empty if it wouldn't.
	Problem string `json:"problem,omitempty"`
	// Quota is what the account has used, nil if it has no quota. It doesn't tell whether the quota admits the request.
	Quota *AccountStatus `json:"quota,omitempty"`
	// Pools has the decision for each pool that the route's requests are divided among.
	Pools []PoolOutlook `json:"pools,omitempty"`
}

// PoolOutlook is where a daemon would send a request to one pool.
type PoolOutlook struct {
	Pool   yuccaid.Pool `json:"pool"`
	Weight int          `json:"weight"`
	// Leader leads the pool in the daemon's data centre, empty if none is known.
	Leader yuccaid.VM `json:"leader,omitempty"`
	// Leads reports whether the daemon itself is the leader. If it isn't, it knows only of its own runs, and the leader may
	// decide otherwise.
	Leads bool `json:"leads"`
	// Target is the target that the request would be sent to, and Refused why it would be refused. If both are empty, it
	// would wait.
	Target  yuccaid.Target    `json:"target,omitempty"`
	Refused yuccagrant.Reason `json:"refused,omitempty"`
	// ExpectedFirstMillis is the expected time from sending to the first event.
	ExpectedFirstMillis int64 `json:"expectedFirstMillis"`
	// FetchFrom is the target from which Target would fetch parts of the prompt, empty if it would fetch none.
	FetchFrom yuccaid.Target `json:"fetchFrom,omitempty"`
	// Ahead is the number of waiting requests that go first, and WaitMillis how long they are expected to take.
	Ahead      int             `json:"ahead"`
	WaitMillis int64           `json:"waitMillis"`
	Targets    []TargetOutlook `json:"targets"`
}

// TargetOutlook is how a daemon rates a target for a request.
type TargetOutlook struct {
	Target yuccaid.Target `json:"target"`
	Centre yuccaid.Centre `json:"centre"`
	Region yuccaid.Region `json:"region,omitempty"`
	// Excluded is why the request may not be sent to the target now, empty if it may.
	Excluded yuccaallow.Exclusion `json:"excluded,omitempty"`
	// OnTime reports whether the first event is expected in time. It and the figures below are known only of targets that
	// the pool's leader considers.
	OnTime              bool  `json:"onTime"`
	ExpectedFirstMillis int64 `json:"expectedFirstMillis"`
	// CostMillis is ExpectedFirstMillis plus the delay that the request is expected to cause others.
	CostMillis int64 `json:"costMillis"`
	// Busy is how many of the Slots are occupied.
	Busy  int `json:"busy"`
	Slots int `json:"slots"`
	// Held is how many tokens of the prompt the target is assumed to hold.
	Held yuccaid.Tokens `json:"held"`
}
