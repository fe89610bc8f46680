package config

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"
)

// Exit codes of every program.
const (
	// ExitDone means that the program succeeded.
	ExitDone = 0
	// ExitFailed means that the program started its work and failed.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings of the process were
	// invalid, and that no work was started.
	ExitUsage = 2
)

// EarlyExit is the error of --help and --version: the program prints a text and
// exits with ExitDone.
type EarlyExit struct {
	// Text is written to the standard output.
	Text string
}

// Error implements the error interface.
func (s *EarlyExit) Error() string { return s.Text }

// Report prints an error of LoadEntry or LoadControl and returns the exit code
// of the program.
func Report(err error, stdout, stderr io.Writer) int {
	var stop *EarlyExit
	if errors.As(err, &stop) {
		fmt.Fprint(stdout, stop.Text)
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
	return ExitUsage
}

// Version returns the version of the module from which the program was built,
// or "(devel)" if it has none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
