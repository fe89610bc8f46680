// Command standin-3 plays the platform and its clients for the scripts of a review.
// It starts egretpitch-node as separate processes and judges what clients and
// workers see.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// record writes lines with the time since the start to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// memoryMB is the memory limit in the settings of a process of a small deployment.
const memoryMB = 284

// node is a process of egretpitch.
type node struct {
	name, folder          string
	front, ready, control string
	store, fleet, advice  string
	mu                    sync.Mutex
	command               *exec.Cmd
	ended                 chan struct{}
	starts                int
	stopping              bool
	record                *record
}

// freeAddress returns an address with a free port below those that the system gives to
// connections.
func freeAddress() string {
	for {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(12000+rand.IntN(16000)))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

func newNode(i int, folder, store, fleet, advice string, r *record) *node {
	return &node{name: "front-" + strconv.Itoa(i), folder: folder, front: freeAddress(), ready: freeAddress(), control: freeAddress(), store: store, fleet: fleet, advice: advice, record: r}
}

const settings = `node=%s
role=egretpitch
machine_class=front
serves=front
ip=127.0.0.1
zone=z1
region=r1
listen.front=%s
listen.ready=%s
listen.control=%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.file_descriptors=4100
limits.link_mbps=1000.0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_hold_ms=6000
bounds.stop_grace_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.migration_s=1.5
bounds.maintenance_s=2
bounds.fencing_enforced=false
bounds.lease_ms=3000
commands=request
platform.address=%s
platform.form=table
platform.writes_per_s=800
platform.reads_per_s=2000
platform.row_bytes=65536
platform.history_retention_s=20
cloud.address=%s
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
recommendation=%s
`

// start starts the process and starts it again after it has ended, as the platform
// does.
func (n *node) start() error {
	path := filepath.Join(n.folder, n.name+".conf")
	text := fmt.Sprintf(settings, n.name, n.front, n.ready, n.control, memoryMB, n.store, n.fleet, n.advice)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.command = exec.Command("target/egretpitch-node")
	n.command.Env = []string{"EGRETPITCH_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.starts++
	n.ended = make(chan struct{})
	n.record.line("%s starts, process %d", n.name, n.starts)
	go n.wait(n.command, n.ended)
	return nil
}

func (n *node) wait(c *exec.Cmd, ended chan struct{}) {
	_ = c.Wait()
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	n.record.line("%s has ended: %s", n.name, c.ProcessState)
	close(ended)
	if !stopping {
		time.Sleep(200 * time.Millisecond)
		n.mu.Lock()
		stopping = n.stopping
		n.mu.Unlock()
		if !stopping {
			_ = n.start()
		}
	}
}

// stop ends the process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.stopping = true
	_ = n.command.Process.Kill()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// call makes a client's request on a connection of its own, and returns 0 without an
// answer.
func call(method, address, host, path string, body any, timeout time.Duration) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Egretpitch-Deadline-Remaining", strconv.Itoa(int(timeout.Milliseconds())))
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	var out map[string]any
	_ = json.Unmarshal(text, &out)
	return resp.StatusCode, out
}
