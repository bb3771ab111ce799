package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// processorTick is the unit of the times in /proc, which Linux gives in hundredths of a second on all architectures that
// Go supports.
const processorTick = 10 * time.Millisecond

// ProcessorTime returns the processor time, in user and system mode, that a process has used. The resolution is 10 ms.
func ProcessorTime(process int) (time.Duration, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(process) + "/stat")
	if err != nil {
		return 0, err
	}
	return parseProcessorTime(stat)
}

func parseProcessorTime(stat []byte) (time.Duration, error) {
	// The second field is the program's name in parentheses, which can hold spaces and parentheses itself.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("process status has %d fields after the name", len(fields))
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
