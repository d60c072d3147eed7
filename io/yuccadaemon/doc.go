// Package yuccadaemon is the scheduler's daemon: it joins the decisions of the core
// packages with connections, targets and the platform.
//
// One goroutine owns all control state. It takes events from a bounded queue, calls
// the core and sends out what the core decided. Callers, answers and calls to
// targets run on goroutines of their own and never wait for control between two
// pieces of a running answer.
//
// Each daemon plays every role: owner of the requests it opened, forwarder for
// requests of others, leader of some pools of its data centre, member, and reader of
// the configuration.
package yuccadaemon
