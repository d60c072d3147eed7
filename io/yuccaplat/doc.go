// Package yuccaplat reads the platform's service: release notes and baselines, which
// it serves under keys and by a waiting watch, and the lagging list of VMs. Nothing is
// ever written to it.
//
// The service counts each call, a waiting watch as one, and may be slow, stale or away
// for long. Follow and FollowVMs keep a reader up to date through all of that with a
// bounded number of calls; Watch, Get and VMs are one call each.
//
//	reader := yuccaplat.New("http://10.0.0.2:8500")
//	err := reader.Follow(ctx, yuccastate.NotePrefix, func(page yuccaplat.Page) {
//		for _, entry := range page.Entries {
//			chain.Offer(time.Now(), entry.Key, entry.Value)
//		}
//	})
package yuccaplat
