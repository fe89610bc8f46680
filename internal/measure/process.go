package measure

import (
	"bufio"
	"context"
	"io"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/operr"
)

const (
	// stopTimeout bounds the time from SIGTERM until a process is killed.
	stopTimeout = 15 * time.Second
	// startTimeout bounds the wait for the log line with the addresses of a
	// process.
	startTimeout = 10 * time.Second
)

// addresses matches the bound addresses in the log line that a process writes
// when it has started.
var addresses = regexp.MustCompile(`"rpc":"([^"]+)","admin":"([^"]+)"`)

// process is the measured process.
type process struct {
	cmd *exec.Cmd
	// rpc and admin are its RPC and administration addresses.
	rpc, admin string
}

// startProcess starts a program from the directory dir and waits until it has
// logged its addresses.
func startProcess(ctx context.Context, dir, program string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(filepath.Join(dir, program), args...)}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, operr.Wrap(err, "measure: start", program)
	}
	found := make(chan []string, 1)
	go followLog(stderr, found)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	select {
	case m := <-found:
		p.rpc, p.admin = m[1], m[2]
		return p, nil
	case <-ctx.Done():
		p.stop()
		return nil, errors.Errorf("%s did not log its addresses in time", program)
	}
}

// followLog reads a log to its end, so that the process never blocks on a full
// pipe, and sends the submatches of the first line with addresses to found.
func followLog(log io.Reader, found chan<- []string) {
	reader := bufio.NewReader(log)
	reported := false
	for {
		line, err := reader.ReadString('\n')
		if m := addresses.FindStringSubmatch(line); m != nil && !reported {
			reported = true
			found <- m
		}
		if err != nil {
			return
		}
	}
}

// usage returns the resource usage of the process since its start.
func (p *process) usage() (usage, error) { return readUsage(p.cmd.Process.Pid) }

// stop sends SIGTERM, waits for the process to end, and kills it after
// stopTimeout.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	timer := time.AfterFunc(stopTimeout, func() { _ = p.cmd.Process.Kill() })
	defer timer.Stop()
	_ = p.cmd.Wait()
}

// String returns the process ID.
func (p *process) String() string { return strconv.Itoa(p.cmd.Process.Pid) }
