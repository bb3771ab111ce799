package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is when a run is ended that hasn't ended by itself.
const timeLimit = 112 * time.Second

// guard ends the deployment and the program when it is interrupted or takes too long.
func (d *deployment) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		d.rec.say("not run: interrupted or too slow")
		d.stop()
		d.rec.close()
		os.Exit(exitNotRun)
	}()
}
