// Command rig runs the scripted cases of the review: a small deployment of sapphiretray on loopback addresses with stand-ins for the
// store, the servers, the requesters and the platform.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// hostName is the only virtual host of the configuration.
const hostName = "clubs.example"

// scenario runs a case and reports whether the rule was broken. An error means that the case couldn't run.
type scenario func(rec *record, root string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"freezes":  freezesScenario,
	"memory":   memoryScenario,
	"losses":   lossesScenario,
	"download": downloadScenario,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig SCENARIO ROOT RECORD")
		os.Exit(exitNotRun)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Println("unknown scenario", os.Args[1])
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	broken, err := run(rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("not run: %v", err)
		rec.close()
		os.Exit(exitNotRun)
	case broken:
		rec.close()
		os.Exit(exitBroken)
	}
	rec.close()
	os.Exit(exitHeld)
}

// await waits until a condition holds.
func await(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
