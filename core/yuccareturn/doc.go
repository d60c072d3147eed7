// Package yuccareturn plans when refused callers come back, so that they come as fast as they can be
// served.
//
// If each were told how long it takes until there is room now, all that are refused in an overload would come
// back within the same second, and most would be refused again.
package yuccareturn
