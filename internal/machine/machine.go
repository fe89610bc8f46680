// Package machine reads the resources that the machine gives a process.
package machine

import (
	"math"
	"syscall"
)

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
