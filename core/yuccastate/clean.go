package yuccastate

import "slices"

// The order of a set's items means nothing, and neither does an empty list against
// none. Both are brought to one form before anything is compared or hashed: else two
// daemons that read the same note from different sources could differ in digest.

func (acc Account) clean() Account {
	acc.Tiers = cleanSet(acc.Tiers)
	acc.Pools = cleanSet(acc.Pools)
	acc.Targets = cleanSet(acc.Targets)
	return acc
}

func (tgt Target) clean() Target {
	tgt.Setup = tgt.Setup.clean()
	return tgt
}

func (pool Pool) clean() Pool {
	pool.Setup = pool.Setup.clean()
	if len(pool.Operations) == 0 {
		pool.Operations = nil
	}
	return pool
}

func (wish EngineSetup) clean() EngineSetup {
	wish.Adapters = cleanSet(wish.Adapters)
	return wish
}

func (objs Objects) clean() Objects {
	objs.Pools = cleanMap(objs.Pools, Pool.clean)
	objs.Targets = cleanMap(objs.Targets, Target.clean)
	objs.Accounts = cleanMap(objs.Accounts, Account.clean)
	return objs
}

func (names Names) clean() Names {
	return Names{
		Centres:  cleanSet(names.Centres),
		Links:    cleanSet(names.Links),
		Tiers:    cleanSet(names.Tiers),
		Pools:    cleanSet(names.Pools),
		Targets:  cleanSet(names.Targets),
		Accounts: cleanSet(names.Accounts),
	}
}

func cleanSet[T ~string](items []T) []T {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.Sort(sorted)
	return sorted
}

func cleanMap[K ~string, V any](objects map[K]V, clean func(V) V) map[K]V {
	cleaned := make(map[K]V, len(objects))
	for name, object := range objects {
		cleaned[name] = clean(object)
	}
	return cleaned
}
