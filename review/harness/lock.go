package main

import "runtime"

// lock ties the goroutine to its thread: the death signal of a child is sent when
// the thread ends that started it.
func lock() { runtime.LockOSThread() }
