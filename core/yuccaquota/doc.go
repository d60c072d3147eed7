// Package yuccaquota keeps client accounts within quotas that apply over all daemons together.
//
// Each daemon counts, for each account, the usage that was admitted within a sliding window: its
// own and, from their reports, that of the other daemons. No fraction of a quota is reserved for
// a daemon, so that requests within the quota are admitted however unevenly they arrive. In
// return an account may exceed its quota by what is admitted before the reports arrive. A daemon
// that doesn't receive the reports of all others uses only a share of each quota. Daemons that have all
// restarted without usage history limit accounts that demand more than their quota until a window
// has passed.
package yuccaquota
