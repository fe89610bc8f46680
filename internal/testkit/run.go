package testkit

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// RunTests sets path to the programs that build builds, runs the tests, removes the
// programs and returns the exit code, for TestMain.
func RunTests(m *testing.M, path *string, build func() (path string, remove func(), err error)) int {
	built, remove, err := build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	*path = built
	return m.Run()
}

// StartProcess starts a command, whose output is appended to a log. ended is closed
// once the process has ended; cmd.ProcessState is set then.
func StartProcess(cmd *exec.Cmd, logPath string) (ended chan struct{}, err error) {
	out, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return nil, err
	}
	ended = make(chan struct{})
	go func() {
		_ = cmd.Wait() // an error is expected: tests kill processes
		_ = out.Close()
		close(ended)
	}()
	return ended, nil
}
