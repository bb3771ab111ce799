// Package processor tells how much processor time the process has used.
package processor

import (
	"syscall"
	"time"

	"k8s.io/klog/v2"
)

// Time returns the user and system time that the process has used, or 0 if it isn't known.
func Time() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		klog.V(1).InfoS("process: processor time unknown", "err", err)
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
