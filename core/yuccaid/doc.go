// Package yuccaid defines the ids and units that all other packages share: names of
// the objects in the configuration, ids of daemons and requests, and counts such as
// tokens and bytes.
//
// Each kind of id is a type of its own, so that the compiler rejects a target's name
// where a client account's is expected, and each count has its unit in its type. The
// package imports no other package of the project.
package yuccaid
