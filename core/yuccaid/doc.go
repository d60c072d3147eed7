// Package yuccaid names the things that yuccacleat's parts speak of: ids of the
// configuration's objects, of daemons and of requests, and the units they are
// measured in.
//
// Every id is a type of its own, so that a target can't be passed for a client
// account, and every count carries its unit in its type. The package depends on
// nothing else of the project.
package yuccaid
