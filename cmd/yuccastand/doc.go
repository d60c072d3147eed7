// Command yuccastand runs one stand-in for tests as a process: the platform's
// configuration service, a model engine or a plain service.
//
// It prints one JSON line {"listening":"ip:port"} once it listens, and ends on SIGTERM.
package main
