// Package yuccaquota keeps client accounts within quotas that apply over all daemons together.
//
// Each daemon counts, for each account, the usage that was admitted within a sliding window: the
// usage that it has admitted itself and, from the reports of the other daemons, the usage that they
// have admitted. No fraction of a quota is reserved for a daemon, so that requests within the quota
// are admitted however unevenly they arrive. The disadvantage is that an account may exceed its
// quota by what is admitted before the reports arrive.
//
// A daemon that doesn't receive the reports of all other daemons uses only a share of each quota.
// If all daemons restart at once, the usage admitted before is lost. They then refuse requests of
// accounts that demand more than their quota, until a window has passed.
package yuccaquota
