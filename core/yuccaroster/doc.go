// Package yuccaroster keeps the list of targets that have registered with the platform:
// where each listens, whether it is leaving, and which registrations have ended.
//
// Registrations are read from the platform and forwarded by other daemons, so they may
// arrive late and in any order. Of two registrations of a target, the one to which the
// platform gave the higher revision is newer. Registrations that can't be renewed while the
// platform's service is down expire, so a list that is read just after an outage may lack
// targets that work. A removal that is based on such a list is tentative: it takes effect
// only if the target doesn't register again within a grace period.
package yuccaroster
