// Package yuccaregion holds the sets of regions in which requests may be served.
//
// A route and a client account may each be limited to some regions. Where both are, a request may be
// served only in the regions of both:
//
//	allowed := route.Regions.Intersect(account.Regions)
//	if !allowed.Allows(region) {
//		// The target in this region may not get the request.
//	}
package yuccaregion
