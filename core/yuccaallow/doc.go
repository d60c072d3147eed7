// Package yuccaallow decides which targets a request may use: targets that accept requests, in a
// region in which the request may be served, of the version that began its stream, and on which it
// hasn't failed.
//
// Leaders ask it for each placement, and so for resends, races and streams that go on, and the daemon
// that holds a request asks it again before anything is sent. What changes from moment to moment, such
// as free slots, is added by package yuccagrant.
//
//	if why := yuccaallow.Check(limits, failed, target); why != yuccaallow.Allowed {
//		// The request may not use the target; why tells the reason.
//	}
package yuccaallow
