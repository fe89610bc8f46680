//go:build intake

package intake

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/testkit"
)

// process is a process under test and what was measured of it.
type process struct {
	// listeners are the addresses whose connections count towards its memory.
	listeners []string
	// ordinary sends an ordinary request and returns its status, 0 if there is none.
	ordinary func() int
	pid      int
	logPath  string
	ended    chan struct{}
	cmd      *exec.Cmd
	stop     chan struct{}
	sampled  sync.WaitGroup
	// peakKB is the most memory and peakFiles the most descriptors that were seen.
	// Memory is the resident set and what the kernel holds for the connections of
	// the listeners, of which peakQueuedKB.
	peakKB, peakQueuedKB, peakFiles int
}

// launch starts a command, which is killed at the end of the test.
func launch(t *testing.T, cmd *exec.Cmd) *process {
	p := &process{logPath: filepath.Join(t.TempDir(), "log"), cmd: cmd, stop: make(chan struct{})}
	var err error
	if p.ended, err = testkit.StartProcess(cmd, p.logPath); err != nil {
		t.Fatal(err)
	}
	p.pid = cmd.Process.Pid
	t.Cleanup(func() {
		close(p.stop)
		p.sampled.Wait()
		_ = cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			log, _ := os.ReadFile(p.logPath)
			t.Logf("end of the log of %s:\n%s", cmd.Path, log[max(0, len(log)-4000):])
		}
	})
	return p
}

// measure begins to measure the process once it answers an ordinary request.
func (p *process) measure(t *testing.T) {
	t.Helper()
	p.answerOrdinaryRequest(t)
	p.sampled.Go(p.sample)
}

// sample measures the process until the end of the test.
func (p *process) sample() {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-ticker.C:
			status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid)) // empty if it has just ended
			_, rest, _ := strings.Cut(string(status), "VmRSS:")
			kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
			resident, _ := strconv.Atoi(kb)
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
			queued := p.queuedKB()
			if resident+queued > p.peakKB {
				p.peakKB, p.peakQueuedKB = resident+queued, queued
			}
			p.peakFiles = max(p.peakFiles, len(files))
		}
	}
}

// queuedKB returns how much the kernel holds for the connections of the listeners:
// received and not read, or written and not sent.
func (p *process) queuedKB() int {
	ports := map[string]bool{}
	for _, address := range p.listeners {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	table, _ := os.ReadFile("/proc/net/tcp")
	bytesQueued := 0
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == "0A" { // the queue of a listener counts connections
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !ports[port] {
			continue
		}
		sending, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sending, received} {
			size, _ := hex.DecodeString(queue)
			number := 0
			for _, b := range size {
				number = number<<8 | int(b)
			}
			bytesQueued += number
		}
	}
	return bytesQueued >> 10
}

// answerOrdinaryRequest fails the test unless an ordinary request is answered 200.
func (p *process) answerOrdinaryRequest(t *testing.T) {
	t.Helper()
	status := 0
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		select {
		case <-p.ended:
			t.Fatal("the process has ended")
		default:
		}
		if status = p.ordinary(); status == http.StatusOK {
			return
		}
	}
	t.Fatalf("an ordinary request is answered %d", status)
}

// check fails the test if the process has used more than its host has.
func (p *process) check(t *testing.T) {
	t.Helper()
	p.answerOrdinaryRequest(t)
	time.Sleep(5 * samplePeriod)
	close(p.stop)
	p.sampled.Wait()
	p.stop = make(chan struct{})
	t.Logf("%s: %d clients, at most %d KB of %d (%d in the kernel) and %d descriptors of %d",
		t.Name(), clients, p.peakKB, memoryMB<<10, p.peakQueuedKB, p.peakFiles, descriptors)
	if p.peakKB > memoryMB<<10 {
		t.Errorf("%d KB of memory were used, the host has %d", p.peakKB, memoryMB<<10)
	}
	if p.peakFiles > descriptors {
		t.Errorf("%d descriptors were open, the host has %d", p.peakFiles, descriptors)
	}
}
