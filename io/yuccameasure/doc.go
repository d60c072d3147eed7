// Package yuccameasure measures what daemons cost: added time, processor time, memory,
// control traffic and reads of the platform.
//
// It starts daemons and stand-ins as processes of its own on loopback, ends only those,
// and is bounded in their number and in time. Its figures are those of one machine that
// others use as well, so each row carries the load average next to it.
package yuccameasure
