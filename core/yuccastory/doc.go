// Package yuccastory tells what became of one request from the log lines of several
// processes.
//
// It reads JSON lines, each of which may stand behind a prefix of whatever collected them,
// and puts together what the processes decided on a request, what they decided it from, and
// what they believed at the time. Lines that aren't JSON objects are passed over and counted.
package yuccastory
