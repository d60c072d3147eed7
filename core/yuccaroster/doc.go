// Package yuccaroster keeps the targets that registered themselves: which there are, where
// they listen, and which are leaving or gone.
//
// Registrations are read from the platform and passed on by peers, late and in any order;
// the platform's revision decides which is newer. While the platform's service was away,
// registrations lapse that nobody renewed: a list read right after may lack targets that
// are well. Such a removal is tentative, and holds only when the target hasn't come back
// within a grace.
package yuccaroster
