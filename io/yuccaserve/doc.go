// Package yuccaserve runs one daemon as a process: it opens the listeners, serves
// callers and operators, and shuts down gracefully on a signal.
package yuccaserve
