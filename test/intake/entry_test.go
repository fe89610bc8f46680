//go:build intake

package intake

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
)

const (
	// settingsTree is a small estate. Its deadline is longer than a test, so that
	// bodies that stop short stay open.
	settingsTree = `estate: intake
settings: {deadline: 5m, min_hosts: 1}
teams: [{name: t}]
datacentres:
  - {name: dc, region: r, racks: {r1: ["up-[01-02]"], r2: ["spare-[01-02]"]}}
regions:
  - name: r
    pools:
      - {name: p, hosts: ["up-[01-02]"], services: [{name: orders, team: t}]}
      - {name: s, spare: true, hosts: ["spare-[01-02]"]}
`
	// entryBody and entryHeader are the limits of the tree on bodies and of an entry
	// on headers, in bytes.
	entryBody, entryHeader = 1 << 20, 64 << 10
	entryHead              = "POST /orders/1 HTTP/1.1\r\nHost: h\r\n"
)

// system is a stand-in platform with one control process.
type system struct {
	flags   []string
	control *process
	// admin and rpc are the addresses of the control process.
	admin, rpc string
}

// field waits for a match of a pattern in the log of the process and returns its
// first group.
func (p *process) field(t *testing.T, pattern string) string {
	t.Helper()
	re := regexp.MustCompile(pattern)
	for deadline := time.Now().Add(answerTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		log, _ := os.ReadFile(p.logPath) // it exists from the start
		if m := re.FindSubmatch(log); m != nil {
			return string(m[1])
		}
	}
	t.Fatalf("the log has no %s", pattern)
	return ""
}

// get returns the status of a GET request on a connection of its own, 0 without one.
func get(url string) int {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// startSystem starts a platform and a control process with the tree in force. Both
// end with the test.
func startSystem(t *testing.T, controlFlags ...string) *system {
	file := filepath.Join(t.TempDir(), "tree.yaml")
	if err := os.WriteFile(file, []byte(settingsTree), 0o600); err != nil {
		t.Fatal(err)
	}
	platform := launch(t, exec.Command(filepath.Join(binaries, "egretpitch-standin"),
		"--settings", file, "--listen", "127.0.0.1:0", "--entry", "entry-1"))
	url := "http://" + platform.field(t, `stand-in listens on (\S+)`)
	s := &system{flags: []string{"--region", "r", "--datacentre", "dc", "--rack", "r1", "--rpc-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"}}
	for _, service := range []string{"table", "objects", "hosts", "workers"} {
		s.flags = append(s.flags, "--platform."+service, url)
	}
	s.control = s.launch(t, "egretpitch-control", append(controlFlags, "--name", "control-1")...)
	s.rpc, s.admin = s.control.field(t, `"rpc":"([^"]+)"`), s.control.field(t, `"admin":"([^"]+)"`)
	s.control.listeners = []string{s.admin}
	s.control.ordinary = func() int { return get("http://" + s.admin + adminapi.PathSettings) }
	s.control.answerOrdinaryRequest(t)
	if _, err := adminapi.NewClient(s.admin).Apply(t.Context(), adminapi.ApplyRequest{YAML: settingsTree, File: file}); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *system) launch(t *testing.T, command string, flags ...string) *process {
	return launch(t, exec.Command(filepath.Join(binaries, command), append(s.flags, flags...)...))
}

// limitFlags are the limits of a process under test.
func limitFlags() []string {
	return []string{fmt.Sprintf("--limits.memory-mb=%d", memoryMB), fmt.Sprintf("--limits.file-descriptors=%d", descriptors)}
}

// entry is an egretpitch-entry under test.
type entry struct {
	*process
	callers, admin string
}

// startEntry starts a platform, a control process and an entry, which answers
// requests. They end with the test.
func startEntry(t *testing.T) *entry {
	s := startSystem(t)
	e := &entry{process: s.launch(t, "egretpitch-entry", append(limitFlags(), "--name", "entry-1", "--listen", "127.0.0.1:0", "--control", s.rpc)...)}
	e.callers, e.admin = e.field(t, `"callers":"([^"]+)"`), e.field(t, `"admin":"([^"]+)"`)
	e.listeners = []string{e.callers, e.admin}
	e.ordinary = func() int { return postEntry(e.callers, "gas mantles") }
	e.measure(t)
	return e
}

// postEntry sends a body on a connection of its own and returns the status, 0 if
// there is none.
func postEntry(address, body string) int {
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address+"/orders/1", "text/plain", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// entryListeners are all on which an entry serves HTTP.
var entryListeners = map[string]func(*entry) string{
	"callers": func(e *entry) string { return e.callers },
	"admin":   func(e *entry) string { return e.admin },
}

func eachOfEntry(t *testing.T, count int, send func(net.Conn) error) {
	for name, address := range entryListeners {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			flood(t, e.process, address(e), count, send)
		})
	}
}

func floodEntry(t *testing.T, count int, send func(net.Conn) error) {
	e := startEntry(t)
	flood(t, e.process, e.callers, count, send)
}

// entryShortBody is a request to an entry whose body stops just short of its end.
var entryShortBody = fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", entryHead, declared, filler)

// entryChunked returns a chunked request of sent bytes without its last chunk.
func entryChunked(chunk, total int) []byte {
	return append([]byte(entryHead), chunked(chunk, total)[len(request):]...)
}

// Guards against headers just under the limit that nobody completes: 64 KB each.
func TestEntryHeadersWithoutEnd(t *testing.T) {
	line := "X-Filler: " + strings.Repeat("h", 988) + "\r\n"
	t.Run("under the limit", func(t *testing.T) {
		lines := []byte(entryHead + strings.Repeat(line, 64))
		eachOfEntry(t, 4*clients, func(c net.Conn) error { return write(c, lines, len(lines)) })
	})
	t.Run("over the limit", func(t *testing.T) {
		lines := []byte(entryHead + strings.Repeat(line, 990))
		eachOfEntry(t, clients, func(c net.Conn) error { return write(c, lines, 4000) })
	})
}

// Guards against buffering empty lines while a request line is awaited.
func TestEntryEmptyLinesWithoutEnd(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), 500_000)
	eachOfEntry(t, clients, func(c net.Conn) error { return write(c, lines, 4000) })
}

// Guards against bodies that are kept without a bound over all requests.
func TestEntryBodiesThatStopShort(t *testing.T) {
	for _, piece := range []int{declared, 1000} {
		t.Run(fmt.Sprint(piece), func(t *testing.T) {
			floodEntry(t, clients, func(c net.Conn) error { return write(c, entryShortBody, piece) })
		})
	}
}

// Guards against chunked bodies, which declare no size, without a bound.
func TestEntryChunkedBodies(t *testing.T) {
	for _, chunk := range []int{1, 1000, 64_000} {
		t.Run(fmt.Sprint(chunk), func(t *testing.T) {
			body := entryChunked(chunk, sent)
			floodEntry(t, clients, func(c net.Conn) error { return write(c, body, 64_000) })
		})
	}
}

// Guards against memory that whole bodies take while they are forwarded.
func TestEntryWholeBodies(t *testing.T) {
	whole := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", entryHead, entryBody, bytes.Repeat([]byte("x"), entryBody))
	floodEntry(t, clients, func(c net.Conn) error { return write(c, whole, len(whole)) })
}

// Guards against what the kernel receives for a process with little processor time.
func TestEntryBodiesToASuspendedProcess(t *testing.T) {
	e := startEntry(t)
	_ = syscall.Kill(e.pid, syscall.SIGSTOP) // the cleanup kills it in any case
	time.AfterFunc(loadTime, func() { _ = syscall.Kill(e.pid, syscall.SIGCONT) })
	flood(t, e.process, e.callers, 4*clients, func(c net.Conn) error { return write(c, entryShortBody, declared) })
}

// Guards against answers that are kept while nobody reads them. The answer of the
// stand-in repeats the path.
func TestEntryAnswersThatNobodyReads(t *testing.T) {
	request := fmt.Appendf(nil, "GET /orders/%s HTTP/1.1\r\nHost: h\r\n\r\n", filler[:60_000])
	floodEntry(t, 4*clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		return write(c, bytes.Repeat(request, 10), 64_000)
	})
}

// Guards against connections that are not given back when their peers reset them.
func TestEntryPeersThatReset(t *testing.T) {
	floodEntry(t, 4*clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetLinger(0)
		err := write(c, entryShortBody, declared)
		_ = c.Close()
		return err
	})
}

// Guards against connections without a bound.
func TestEntryIdleConnections(t *testing.T) {
	eachOfEntry(t, 4*clients, func(c net.Conn) error {
		_, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	})
}

// Guards against limits that refuse what they allow.
func TestEntryServesRequestsUpToTheLimits(t *testing.T) {
	e := startEntry(t)
	if got := postEntry(e.callers, strings.Repeat("x", entryBody)); got != http.StatusOK {
		t.Errorf("a body of the maximum size is answered %d", got)
	}
	if got := postEntry(e.callers, strings.Repeat("x", entryBody+1)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("a body above the maximum size is answered %d", got)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/orders/1", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Filler", strings.Repeat("h", entryHeader-300))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("a header near the maximum size is answered %d", resp.StatusCode)
	}
}
