// Package machine reads the resources that the machine gives a process, and keeps the
// process within its memory.
package machine

import (
	"math"
	"runtime/debug"
	"syscall"
)

const (
	// GCPercent is the garbage collector's target percentage in a process whose memory
	// is limited. It is below the default of 100, for a smaller heap at the cost of
	// processor time.
	GCPercent = 60
	// heapShare is the part of that memory from which the collector runs as often as it
	// takes. The rest is for buffers of the kernel.
	heapShare = 0.7
)

// LimitHeap sets the garbage collector for a process with the given memory in bytes.
func LimitHeap(memory int64) {
	debug.SetGCPercent(GCPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(memory)))
}

// defaultMemory is assumed where the memory of the machine cannot be read.
const defaultMemory = 1 << 30

// Memory returns the memory of the machine in bytes.
func Memory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return defaultMemory
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// FileDescriptors returns how many files the process may have open.
func FileDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return int(min(limit.Cur, math.MaxInt32))
}
