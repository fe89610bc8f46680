package entry

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/limit"
	"github.com/egretpitch/egretpitch/internal/outcome"
	"github.com/egretpitch/egretpitch/internal/retry"
)

// sourceReasons returns the refusal reasons that occur in the source of the
// packages entry and claim.
func sourceReasons(t *testing.T) map[string]bool {
	reasons := map[string]bool{reasonBadRequest: true}
	for _, pattern := range []string{"*.go", "../claim/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					addReason(reasons, call)
				}
				return true
			})
		}
	}
	for r := limit.DeadlineTooNear; r.String() != ""; r++ {
		reasons[r.String()] = true
	}
	for _, r := range []retry.Reason{retry.ReasonMayHaveRun, retry.ReasonDeadline, retry.ReasonTries,
		retry.ReasonNoHost, retry.ReasonBudget, reasonCancelled} {
		reasons["lost-"+string(r)] = true
	}
	return reasons
}

var reasonLiteral = regexp.MustCompile(`^"[a-z]+(-[a-z]+)+"$`)

func addReason(reasons map[string]bool, call *ast.CallExpr) {
	name := ""
	switch f := call.Fun.(type) {
	case *ast.Ident:
		name = f.Name
	case *ast.SelectorExpr:
		name = f.Sel.Name
	}
	if name != "refuse" && name != "Refuse" && name != "Lost" {
		return
	}
	for _, arg := range call.Args {
		switch a := arg.(type) {
		case *ast.BasicLit:
			if reasonLiteral.MatchString(a.Value) {
				reasons[strings.Trim(a.Value, `"`)] = true
			}
		case *ast.Ident:
			switch a.Name {
			case "ReasonInProgress":
				reasons["key-in-progress"] = true
			case "reasonOverloaded":
				reasons[reasonOverloaded] = true
			}
		}
	}
}

// TestReasonsOfThePageAreThoseOfTheCode compares the table of reasons in
// docs/OPERATORS.md with the code, and checks that a status of 502 is
// documented with the outcome "unknown".
func TestReasonsOfThePageAreThoseOfTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	rows := regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ([0-9x, ]+) \\| (ran|not-run|unknown) \\|").FindAllStringSubmatch(string(page), -1)
	for _, row := range rows {
		documented[row[1]] = true
		if status, _ := strconv.Atoi(row[2]); (status == http.StatusBadGateway) && row[3] != "unknown" {
			t.Errorf("%s: the outcome of a lost request is documented as %s", row[1], row[3])
		}
	}
	if diff := cmp.Diff(sourceReasons(t), documented); diff != "" {
		t.Errorf("code (-), docs/OPERATORS.md (+):\n%s", diff)
	}
}

// newFailingUpstream returns the address of an upstream that counts each
// request in received and closes its connection without an answer. If received
// is nil, the address refuses connections.
func newFailingUpstream(t *testing.T, received *atomic.Int64) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if received == nil {
		l.Close()
		return l.Addr().String()
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					received.Add(1)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestNotRunIsSaidOnlyWhenNoTryReachedAnUpstream mixes hosts that close the
// connection after receiving a request with hosts that refuse connections,
// tried in either order. A request that reached any host may have run, so the
// response must not say "not-run".
func TestNotRunIsSaidOnlyWhenNoTryReachedAnUpstream(t *testing.T) {
	seen := map[string]bool{}
	for closing := range 3 {
		var received atomic.Int64
		f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
		hosts := map[string]string{}
		for i, name := range []string{"kano-02", "kano-03"} {
			hosts[name] = newFailingUpstream(t, nil)
			if i < closing {
				hosts[name] = newFailingUpstream(t, &received)
			}
		}
		f.entry.exec.Do(t.Context(), func() { f.assignNext(hosts) })
		for _, method := range []string{"GET", "POST"} {
			for range 10 {
				before := received.Load()
				resp, _ := f.raw(t, method+" /orders/1 HTTP/1.1\r\nHost: e\r\n\r\n")
				reached := received.Load() > before
				seen[resp.Header.Get(ReasonHeader)] = true
				if got := resp.Header.Get(outcome.Header); (got == "not-run") == reached || got == "ran" {
					t.Errorf("%d of 2 hosts close connections, %s: upstreams reached: %v, the caller got %s", closing, method, reached, summarize(resp))
				}
			}
		}
	}
	for _, want := range []string{"no-upstream", "lost-may-have-run", "lost-no-host"} {
		if !seen[want] {
			t.Errorf("no request was refused with %s: %v", want, seen)
		}
	}
}
