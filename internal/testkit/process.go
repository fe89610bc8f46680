package testkit

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// Build builds commands of the module, without the race detector, into a new
// directory and returns it and a function that removes it. The working directory is
// two below the root of the module, as in the packages of test/.
func Build(commands ...string) (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "egretpitch")
	if err != nil {
		return "", nil, err
	}
	args := []string{"build", "-o", dir + "/"}
	for _, command := range commands {
		args = append(args, "../../cmd/"+command)
	}
	build := exec.Command("go", args...)
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		_ = os.RemoveAll(dir)
		return "", nil, fmt.Errorf("build: %w", err)
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// BuildNode builds egretpitch-node as Build does and returns the path of the binary.
func BuildNode() (binary string, remove func(), err error) {
	dir, remove, err := Build("egretpitch-node")
	return filepath.Join(dir, "egretpitch-node"), remove, err
}
