// Package yuccaroster keeps the list of targets that have registered with the platform:
// where each listens, whether it is leaving, and which registrations have ended.
//
// Registrations are read from the platform and forwarded by other daemons, so they may
// arrive late and in any order. The platform's revision decides which one is newer.
// Registrations that can't be renewed while the platform's service is down lapse, so a list
// that is read just after an outage may lack targets that work. A removal that is based on
// such a list is tentative: it takes effect only if the target hasn't registered again
// within a grace period.
package yuccaroster
