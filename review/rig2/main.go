// Command rig2 runs the cases of the second review: it starts a small deployment of sapphiretray on loopback addresses with stand-ins for
// the platform's store, the servers and the requesters.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// longestRun bounds the time that a case may take.
const longestRun = 117 * time.Second

// caseFunc runs a case and returns its exit status. trouble is false if the disruption is left out.
type caseFunc func(c *caseEnv) (int, error)

// caseEnv is what a case needs.
type caseEnv struct {
	rec     *recorder
	program string
	dir     string
	trouble bool
}

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE PROGRAM RECORD")
		os.Exit(statusFailed)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(run caseFunc, program, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	// The processes that were started end with this one.
	time.AfterFunc(longestRun, func() {
		rec.note("the case took longer than %v", longestRun)
		os.Exit(statusFailed)
	})
	if program, err = filepath.Abs(program); err != nil {
		return statusFailed
	}
	status, err := run(&caseEnv{rec: rec, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	if err != nil {
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	return status
}
