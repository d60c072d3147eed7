package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes that the review asks for.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scripts are the scripts by their names.
var scripts = map[string]func(*rig) (verdict, error){}

// verdict is the result of a script.
type verdict struct {
	// broken lists what broke the rule, one entry each.
	broken []string
	// summary says in a line what was counted.
	summary string
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "replica" {
		runReplica(os.Args[2])
		return
	}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCRIPT RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(scripts[os.Args[1]], os.Args[2]))
}

// play plays one script and writes its record.
func play(script func(*rig) (verdict, error), recordPath string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer rec.close()
	rg := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now(), ran: make(map[string]int), lastRun: make(map[string]run)}
	defer rg.stop()
	result, err := script(rg)
	if err != nil {
		rec.line("the script could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannotRun
	}
	rec.line("%s", result.summary)
	fmt.Println(result.summary)
	if len(result.broken) == 0 {
		rec.line("the rule held")
		fmt.Println("held")
		return exitHeld
	}
	for _, one := range result.broken {
		rec.line("BROKEN: %s", one)
	}
	fmt.Printf("broken %d times, first: %s\n", len(result.broken), result.broken[0])
	return exitBroken
}
