package yuccatrial

import (
	"fmt"
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// Deployment is the targets, accounts and mix of requests of one fleet.
type Deployment struct {
	Name     string
	Centres  []CentreSpec
	Pools    []PoolSpec
	Accounts []AccountSpec
	Mix      []Mix
}

// CentreSpec is one data centre with its entry VMs.
type CentreSpec struct {
	Name    yuccaid.Centre
	Region  yuccaid.Region
	Daemons int
}

// PoolSpec is one pool. Replicas has its size in each data centre, the last one
// standing for those that follow, and Kinds is gone through in turn.
type PoolSpec struct {
	Name     yuccaid.Pool
	Plain    bool
	Replicas []int
	Kinds    []EngineKind
}

func (spec PoolSpec) replicas(centre int) int {
	return spec.Replicas[min(centre, len(spec.Replicas)-1)]
}

// EngineKind is one generation of engines.
type EngineKind struct {
	Slots   int
	Prefill yuccaid.TokenRate
	Decode  yuccaid.TokenRate
	Cache   yuccaid.Tokens
}

func (kind EngineKind) scaled(factor float64) EngineKind {
	kind.Prefill *= yuccaid.TokenRate(factor)
	kind.Decode *= yuccaid.TokenRate(factor)
	return kind
}

// AccountSpec is a client account and its share of the arrivals.
type AccountSpec struct {
	Name   yuccaid.Account
	Share  float64
	Weight int
}

// TierSpec is a tier; rank 0 is the most urgent.
type TierSpec struct {
	Name yuccaid.Tier
	Rank int
}

// Mix is one kind of request. Families is how many shared beginnings there are, each
// of Shared tokens. No pool means any, by size.
type Mix struct {
	Operation yuccaid.Operation
	Pool      yuccaid.Pool
	Tier      TierSpec
	Share     float64
	Shared    yuccaid.Tokens
	Families  int
	Prompt    Length
	Answer    Length
	Deadline  time.Duration
}

var (
	urgent = TierSpec{Name: "urgent", Rank: 0}
	normal = TierSpec{Name: "normal", Rank: 1}
	bulk   = TierSpec{Name: "bulk", Rank: 2}

	fast   = EngineKind{Slots: 16, Prefill: 8000, Decode: 60, Cache: 120_000}
	middle = fast.scaled(0.6)
	slow   = fast.scaled(0.35)
	plain  = EngineKind{Slots: 8, Decode: 100}

	threeRegions = []CentreSpec{
		{Name: "east", Region: "east", Daemons: 3},
		{Name: "mid", Region: "mid", Daemons: 2},
		{Name: "west", Region: "west", Daemons: 2},
	}
	fewLarge = []AccountSpec{
		{Name: "large-1", Share: 0.45, Weight: 3},
		{Name: "large-2", Share: 0.30, Weight: 3},
		{Name: "small-1", Share: 0.10, Weight: 1},
		{Name: "small-2", Share: 0.10, Weight: 1},
		{Name: "small-3", Share: 0.05, Weight: 1},
	}
)

// Deployments returns all of them, by growing size.
func Deployments() []Deployment {
	return []Deployment{Hotline(), Desk(), Aimed()}
}

// Hotline has short urgent notes on transcripts, long handovers and bulk letters: 12
// drafting replicas and 3 ticket services in three regions.
func Hotline() Deployment {
	return Deployment{
		Name:     "hotline",
		Centres:  threeRegions,
		Accounts: fewLarge,
		Pools: []PoolSpec{
			{Name: "drafts", Replicas: []int{4}, Kinds: []EngineKind{fast, middle, slow}},
			{Name: "tickets", Replicas: []int{1}, Kinds: []EngineKind{plain}, Plain: true},
		},
		Mix: []Mix{
			{
				Operation: "note", Pool: "drafts", Tier: urgent, Share: 0.30, Shared: 1024, Families: 3,
				Prompt: Length{900, 0.6, 150, 8000}, Answer: Length{180, 0.4, 40, 600}, Deadline: 12 * time.Second,
			},
			{
				Operation: "handover", Pool: "drafts", Tier: normal, Share: 0.15, Shared: 1024, Families: 3,
				Prompt: Length{6000, 0.8, 1000, 30000}, Answer: Length{500, 0.4, 100, 1500}, Deadline: time.Minute,
			},
			{
				Operation: "lookup", Pool: "drafts", Tier: normal, Share: 0.15, Shared: 256, Families: 5,
				Prompt: Length{120, 0.5, 40, 600}, Answer: Length{30, 0.4, 5, 100}, Deadline: 10 * time.Second,
			},
			{
				Operation: "letter", Pool: "drafts", Tier: bulk, Share: 0.30, Shared: 1024, Families: 8,
				Prompt: Length{1200, 0.6, 200, 8000}, Answer: Length{400, 0.4, 100, 1200}, Deadline: 2 * time.Minute,
			},
			{
				Operation: "file", Pool: "tickets", Tier: urgent, Share: 0.10,
				Answer: Length{40, 0.5, 10, 200}, Deadline: 8 * time.Second,
			},
		},
	}
}

// Desk has long shared rulebooks: 10 drafting replicas and 3 office services.
func Desk() Deployment {
	return Deployment{
		Name:     "desk",
		Centres:  threeRegions,
		Accounts: fewLarge,
		Pools: []PoolSpec{
			{Name: "drafts", Replicas: []int{4, 3, 3}, Kinds: []EngineKind{fast, middle, slow}},
			{Name: "office", Replicas: []int{1}, Kinds: []EngineKind{plain}, Plain: true},
		},
		Mix: []Mix{
			{
				Operation: "briefing", Pool: "drafts", Tier: urgent, Share: 0.20, Shared: 12288, Families: 20,
				Prompt: Length{500, 0.5, 100, 3000}, Answer: Length{300, 0.4, 80, 900}, Deadline: 20 * time.Second,
			},
			{
				Operation: "help", Pool: "drafts", Tier: normal, Share: 0.35, Shared: 6144, Families: 30,
				Prompt: Length{250, 0.6, 50, 2000}, Answer: Length{200, 0.4, 40, 800}, Deadline: 30 * time.Second,
			},
			{
				Operation: "history", Pool: "drafts", Tier: bulk, Share: 0.35, Shared: 1024, Families: 40,
				Prompt: Length{3000, 0.8, 300, 30000}, Answer: Length{450, 0.4, 100, 1500}, Deadline: 2 * time.Minute,
			},
			{
				Operation: "book", Pool: "office", Tier: urgent, Share: 0.10,
				Answer: Length{40, 0.5, 10, 200}, Deadline: 8 * time.Second,
			},
		},
	}
}

// aimedSizes are the replicas of 17 models, 128 in all.
var aimedSizes = []int{20, 16, 14, 12, 10, 9, 8, 7, 6, 5, 4, 4, 3, 3, 3, 2, 2}

const aimedAccounts = 115

// Aimed is one data centre of the size aimed at: 128 replicas of 5 generations, 17
// models, 115 accounts. At a load of 0.7 it gets about 365 requests a second.
func Aimed() Deployment {
	base := EngineKind{Slots: 32, Prefill: 24_000, Decode: 110, Cache: 240_000}
	kinds := []EngineKind{base, base.scaled(0.8), base.scaled(0.6), base.scaled(0.45), base.scaled(0.3)}
	dep := Deployment{
		Name:    "aimed",
		Centres: []CentreSpec{{Name: "main", Region: "main", Daemons: 28}},
		Mix: []Mix{
			{
				Operation: "note", Tier: urgent, Share: 0.25, Shared: 1024, Families: 10,
				Prompt: Length{900, 0.6, 150, 8000}, Answer: Length{150, 0.4, 40, 600}, Deadline: 8 * time.Second,
			},
			{
				Operation: "brief", Tier: normal, Share: 0.25, Shared: 6144, Families: 20,
				Prompt: Length{400, 0.6, 50, 3000}, Answer: Length{200, 0.4, 40, 800}, Deadline: 20 * time.Second,
			},
			{
				Operation: "lookup", Tier: normal, Share: 0.20, Shared: 256, Families: 20,
				Prompt: Length{120, 0.5, 40, 600}, Answer: Length{30, 0.4, 5, 100}, Deadline: 5 * time.Second,
			},
			{
				Operation: "letter", Tier: bulk, Share: 0.30, Shared: 1024, Families: 20,
				Prompt: Length{2500, 0.8, 200, 30000}, Answer: Length{350, 0.4, 100, 1500}, Deadline: time.Minute,
			},
		},
	}
	for i, size := range aimedSizes {
		dep.Pools = append(dep.Pools, PoolSpec{
			Name: yuccaid.Pool(fmt.Sprintf("model-%02d", i)), Replicas: []int{size}, Kinds: kinds,
		})
	}
	for i := range aimedAccounts {
		dep.Accounts = append(dep.Accounts, AccountSpec{
			Name: yuccaid.Account(fmt.Sprintf("account-%03d", i)), Share: math.Pow(float64(i+1), -1), Weight: 1,
		})
	}
	return dep
}
