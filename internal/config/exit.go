package config

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
)

// Exit codes of every program.
const (
	// ExitDone means that the program did what it was asked to.
	ExitDone = 0
	// ExitFailed means that it tried and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings of the process
	// were refused and nothing was tried.
	ExitUsage = 2
)

// EarlyExit asks the program to print a text and to end as done.
type EarlyExit struct {
	// Text goes to the standard output.
	Text string
}

// Error implements the error interface.
func (s *EarlyExit) Error() string { return s.Text }

// Report prints an error of LoadEntry or LoadControl and returns the exit code
// to end with.
func Report(err error, stdout, stderr io.Writer) int {
	var stop *EarlyExit
	if errors.As(err, &stop) {
		fmt.Fprint(stdout, stop.Text)
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}

// Version returns the version of the module that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
