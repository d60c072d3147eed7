// Package yuccademo runs a whole small fleet inside one process, on loopback ports of
// its own: the platform, engines of unlike speed and a plain service as stand-ins,
// and three daemons. It sends requests of three tiers and compares what callers were
// told with what the stand-ins really ran.
package yuccademo
