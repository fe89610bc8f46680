package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// clockTick is the unit of the processor times in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are indexes of fields in
	// /proc/PID/stat. They count from the process state, the first field after
	// the command name, because that name may contain spaces.
	userTimeField   = 11
	systemTimeField = 12
)

// usage is the resource usage of a process since its start.
type usage struct {
	// cpu is the user and system time.
	cpu time.Duration
	// ioBytes is the number of bytes transferred by read and write calls.
	ioBytes int64
	// resident is the resident memory in bytes.
	resident int64
}

// readUsage returns the resource usage of a process from the kernel's counters
// in /proc.
func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, operr.Wrap(err, "measure: read processor time", strconv.Itoa(pid))
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	u.cpu = time.Duration(parseNumber(fields[userTimeField])+parseNumber(fields[systemTimeField])) * clockTick
	io, err := readProcFile(pid, "io")
	if err != nil {
		return u, err
	}
	u.ioBytes = io["rchar"] + io["wchar"]
	status, err := readProcFile(pid, "status")
	if err != nil {
		return u, err
	}
	u.resident = status["VmRSS"] << 10
	return u, nil
}

// readProcFile reads a file in /proc/PID whose lines have the form
// "name: number".
func readProcFile(pid int, file string) (map[string]int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, operr.Wrap(err, "measure: read "+file, strconv.Itoa(pid))
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		if name, rest, ok := strings.Cut(line, ":"); ok {
			if words := strings.Fields(rest); len(words) > 0 {
				values[name] = parseNumber(words[0])
			}
		}
	}
	return values, nil
}

// parseNumber returns the decimal number in word, 0 if it is none.
func parseNumber(word string) int64 {
	n, _ := strconv.ParseInt(word, 10, 64)
	return n
}

// ownCPU returns the user and system time of this process, 0 if it cannot be
// read.
func ownCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
