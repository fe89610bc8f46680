package testkit

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// BuildNode builds egretpitch-node, without the race detector, into a new
// directory and returns the path of the binary and a function that removes the
// directory. The working directory is two below the root of the module, as in the
// packages of test/.
func BuildNode() (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "egretpitch")
	if err != nil {
		return "", nil, err
	}
	binary = filepath.Join(dir, "egretpitch-node")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/egretpitch-node")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		_ = os.RemoveAll(dir)
		return "", nil, fmt.Errorf("build: %w", err)
	}
	return binary, func() { _ = os.RemoveAll(dir) }, nil
}
