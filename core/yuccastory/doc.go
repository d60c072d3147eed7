// Package yuccastory explains what became of one request, from the log lines of several processes.
//
// It reads JSON lines, each of which may follow a prefix that a log collector added. It puts together
// what the processes decided on the request, the inputs of these decisions, and the state changes of
// these processes meanwhile. Lines that aren't JSON objects are skipped.
package yuccastory
