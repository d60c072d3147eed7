// Command stand plays a case of the review: it starts the daemons of the deploy file as processes, with stand-ins for the
// store, the replicas and the clients, and judges what the clients have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns what broke the rule, nothing if it held.
type play func(rec *record, trouble bool) (broken []string, err error)

var plays = map[string]play{
	"versions": playVersions,
	"leaving":  playLeaving,
	"quota":    playQuota,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	stopAtSignal()
	broken, err := plays[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("the case couldn't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	for _, one := range broken {
		rec.add("BROKEN: %s", one)
		fmt.Println("broken:", one)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

// stopAtSignal has the daemons killed if this process is told to end before the case has.
func stopAtSignal() {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stops
		killStarted()
		os.Exit(exitNotRun)
	}()
}
