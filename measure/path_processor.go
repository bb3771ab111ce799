package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// processorTick is the unit of times in /proc: USER_HZ, which is 100 per second on all architectures that Go supports on Linux.
const processorTick = 10 * time.Millisecond

// ProcessorTime returns the processor time that a process has used in user and system mode, with a resolution of 10 ms. It reads /proc.
func ProcessorTime(process int) (time.Duration, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/stat")
	if err != nil {
		return 0, err
	}
	return parseProcessorTime(stat)
}

// parseProcessorTime parses the content of /proc/PID/stat.
func parseProcessorTime(stat []byte) (time.Duration, error) {
	// The second field is the program's name in parentheses, which can hold spaces and parentheses itself.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	// The indices of utime and stime after the name.
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("/proc stat line has only %d fields after the process name", len(fields))
	}
	var ticks uint64
	for _, field := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.ParseUint(string(field), 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * processorTick, nil
}
