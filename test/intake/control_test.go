//go:build intake

package intake

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/egretpitch/egretpitch/internal/adminapi"
)

const controlHead = "POST " + adminapi.PathSettings + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"

// floodControl lets clients send to the administration address of a control process.
func floodControl(t *testing.T, count int, send func(net.Conn) error) {
	s := startSystem(t, limitFlags()...)
	s.control.measure(t)
	flood(t, s.control, s.admin, count, send)
}

// Guards against headers of the administration API that are kept up to 1 MB.
func TestControlHeadersWithoutEnd(t *testing.T) {
	lines := []byte(controlHead + strings.Repeat("X-Filler: "+strings.Repeat("h", 988)+"\r\n", 990))
	for _, piece := range []int{4000, len(lines)} {
		t.Run(fmt.Sprint(piece), func(t *testing.T) {
			floodControl(t, clients, func(c net.Conn) error { return write(c, lines, piece) })
		})
	}
}

// Guards against buffering empty lines while a request line is awaited.
func TestControlEmptyLinesWithoutEnd(t *testing.T) {
	lines := bytes.Repeat([]byte("\r\n"), 500_000)
	floodControl(t, clients, func(c net.Conn) error { return write(c, lines, 4000) })
}

// Guards against trees that are kept without a bound over all requests.
func TestControlBodiesThatStopShort(t *testing.T) {
	body := append([]byte(`{"yaml":"`), bytes.Repeat([]byte("x"), 2_000_000)...)
	whole := append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", controlHead, len(body)+1), body...)
	chunks := []byte(controlHead + "Transfer-Encoding: chunked\r\n\r\n")
	for part := body; len(part) > 0; {
		n := min(len(part), 1000)
		chunks = fmt.Appendf(chunks, "%x\r\n%s\r\n", n, part[:n])
		part = part[n:]
	}
	for name, request := range map[string][]byte{"declared": whole, "chunked": chunks} {
		for _, piece := range []int{1000, 64_000} {
			t.Run(fmt.Sprint(name, piece), func(t *testing.T) {
				floodControl(t, clients/2, func(c net.Conn) error { return write(c, request, piece) })
			})
		}
	}
}

// Guards against whole bodies whose decoded values are far larger than they are.
func TestControlBodiesOfManyValues(t *testing.T) {
	// within is how many values a body may have; two stand for each line below.
	within := memoryMB << 20 / 8 / 256
	for name, body := range map[string]string{
		"jobs within": `{"jobs":[` + strings.Repeat("{},", within/2-10) + `{}]}`,
		"tree within": `{"yaml":"` + strings.Repeat(`- a\n`, within/2-10) + `"}`,
		"jobs":        `{"jobs":[` + strings.Repeat("{},", 500_000) + `{}]}`,
		"tree":        `{"yaml":"` + strings.Repeat(`- a\n`, 400_000) + `"}`,
		"flow":        `{"yaml":"[` + strings.Repeat(`a,`, 800_000) + `]"}`,
		"escaped":     `{"yaml":"` + strings.Repeat(`\u002d a\u000a`, 150_000) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			head := controlHead
			if strings.HasPrefix(name, "jobs") {
				head = strings.Replace(head, adminapi.PathSettings, adminapi.PathJobs, 1)
			}
			whole := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			floodControl(t, clients/5, func(c net.Conn) error { return write(c, whole, 64_000) })
		})
	}
}

// Guards against connections without a bound.
func TestControlIdleConnections(t *testing.T) {
	floodControl(t, 4*clients, func(c net.Conn) error {
		_, err := fmt.Fprintf(c, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
		return err
	})
}

// Guards against answers that fill the kernel's buffers.
func TestControlAnswersThatNobodyReads(t *testing.T) {
	requests := []byte(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 400))
	floodControl(t, clients, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4096)
		return write(c, requests, len(requests))
	})
}

// Guards against limits that refuse a tree or jobs within the documented sizes.
func TestControlServesLargeTrees(t *testing.T) {
	s := startSystem(t, limitFlags()...)
	// 2,000 hosts by their names, each in a rack and a pool.
	var hosts []string
	for i := range 2000 {
		hosts = append(hosts, fmt.Sprintf("up-%04d", i+3))
	}
	list := strings.Join(hosts, ", ")
	tree := strings.ReplaceAll(settingsTree, `["up-[01-02]"]`, `["up-[01-02]", `+list+`]`)
	if _, err := adminapi.NewClient(s.admin).Apply(t.Context(), adminapi.ApplyRequest{YAML: tree, ExpectedVersion: 1}); err != nil {
		t.Fatal(err)
	}
	var jobs []adminapi.JobSpec
	for i := range 500 {
		jobs = append(jobs, adminapi.JobSpec{
			ID: fmt.Sprintf("job-%d", i), Team: "t", Pool: "p", Command: strings.Repeat("c", 1000), Processors: 1, MemoryMB: 64,
		})
	}
	if _, err := adminapi.NewClient(s.admin).SubmitJobs(t.Context(), jobs); err != nil {
		t.Fatal(err)
	}
	if got := get("http://" + s.admin + adminapi.PathJobs); got != http.StatusOK {
		t.Errorf("the jobs are answered %d", got)
	}
}
