package yuccastate

import "slices"

// The lists in objects and notes are sets: the order of their items has no meaning, and
// an empty list is the same as none. normalised sorts each list and replaces empty ones
// by nil before anything is compared or hashed, because without this step two daemons
// that read the same note from different sources could compute different digests.

func (acc Account) normalised() Account {
	acc.Tiers = normaliseSet(acc.Tiers)
	acc.Pools = normaliseSet(acc.Pools)
	acc.Targets = normaliseSet(acc.Targets)
	return acc
}

func (tgt Target) normalised() Target {
	tgt.Setup = tgt.Setup.normalised()
	return tgt
}

func (pool Pool) normalised() Pool {
	pool.Setup = pool.Setup.normalised()
	if len(pool.Operations) == 0 {
		pool.Operations = nil
	}
	return pool
}

func (setup EngineSetup) normalised() EngineSetup {
	setup.Adapters = normaliseSet(setup.Adapters)
	return setup
}

func (objs Objects) normalised() Objects {
	objs.Pools = normaliseMap(objs.Pools, Pool.normalised)
	objs.Targets = normaliseMap(objs.Targets, Target.normalised)
	objs.Accounts = normaliseMap(objs.Accounts, Account.normalised)
	return objs
}

func (names Names) normalised() Names {
	return Names{
		Centres:  normaliseSet(names.Centres),
		Links:    normaliseSet(names.Links),
		Tiers:    normaliseSet(names.Tiers),
		Pools:    normaliseSet(names.Pools),
		Targets:  normaliseSet(names.Targets),
		Accounts: normaliseSet(names.Accounts),
	}
}

func normaliseSet[T ~string](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.Sort(sorted)
	return sorted
}

func normaliseMap[K ~string, V any](objects map[K]V, normalise func(V) V) map[K]V {
	normalisedObjects := make(map[K]V, len(objects))
	for name, object := range objects {
		normalisedObjects[name] = normalise(object)
	}
	return normalisedObjects
}
