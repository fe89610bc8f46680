package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// badInput lists invalid requests, each sent on its own connection, and the
// expected summary of the response.
var badInput = []struct{ name, request, want string }{
	{"no HTTP", "hello there\r\n\r\n", "400 not-run bad-request"},
	{"no Host", "GET /orders/1 HTTP/1.1\r\n\r\n", "400 not-run bad-request"},
	{"two Hosts", "GET /orders/1 HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400 not-run bad-request"},
	{"bad header", get("/orders/1", "a b: c"), "400 not-run bad-request"},
	{"two lengths", "POST /orders HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400 not-run bad-request"},
	{"unknown coding", get("/orders/1", "Transfer-Encoding: gzip"), "501 not-run bad-request"},
	{"bad chunk", post("/orders", "Transfer-Encoding: chunked", "zz\r\nab\r\n"), "400 not-run bad-body"},
	{"unknown expectation", get("/orders/1", "Expect: miracle"), "417 not-run bad-request"},
	{"HTTP/3.0", "GET /orders/1 HTTP/3.0\r\nHost: e\r\n\r\n", "505 not-run bad-request"},
	{"large head", get("/orders/1", "X: "+strings.Repeat("x", 2*maxHeaderBytes)), "431 not-run bad-request"},
	{"very long path", get("/orders/" + strings.Repeat("x", 2*maxHeaderBytes)), "431 not-run bad-request"},
	{"stated large body", post("/orders", "Content-Length: 9999", "x"), "413 not-run body-too-large"},
	{"chunked large body", post("/orders", "Transfer-Encoding: chunked", "800\r\n"+strings.Repeat("x", 0x800)+"\r\n0\r\n\r\n"), "413 not-run body-too-large"},
	{"large body awaited", post("/orders", "Expect: 100-continue\r\nContent-Length: 9999", ""), "413 not-run body-too-large"},
	{"unknown service", get("/ledger/1"), "404 not-run unknown-service"},
	{"no service", get("/"), "404 not-run unknown-service"},
	{"CONNECT", "CONNECT orders:80 HTTP/1.1\r\nHost: orders:80\r\n\r\n", "400 not-run bad-target"},
	{"CONNECT with path", "CONNECT /orders/1 HTTP/1.1\r\nHost: e\r\n\r\n", "400 not-run bad-target"},
	{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: e\r\n\r\n", "400 not-run bad-target"},
	{"absolute form", get("http://kano-01/orders/1"), "400 not-run bad-target"},
	{"empty first segment", get("//orders/1"), "400 not-run bad-target"},
	{"dot segments", get("/orders/../ledger"), "400 not-run bad-target"},
	{"single dot", get("/orders/./1"), "400 not-run bad-target"},
	{"encoded dots", get("/orders/%2e%2E/ledger"), "400 not-run bad-target"},
	{"encoded slashes", get("/orders%2f..%2fledger"), "400 not-run bad-target"},
	{"backslashes", get(`/orders/..\ledger`), "400 not-run bad-target"},
	{"encoded service", get("/%6frders/1"), "404 not-run unknown-service"},
	{"bad escape", get("/orders/%zz"), "400 not-run bad-request"},
	{"bad deadline", get("/orders/1", "Egretpitch-Deadline-Ms: soon"), "400 not-run bad-deadline"},
	{"negative deadline", get("/orders/1", "Egretpitch-Deadline-Ms: -1"), "400 not-run bad-deadline"},
	{"two deadlines", get("/orders/1", "Egretpitch-Deadline-Ms: 10000", "Egretpitch-Deadline-Ms: 20000"), "400 not-run bad-deadline"},
	{"no time left", get("/orders/1", "Egretpitch-Deadline-Ms: 0"), "503 not-run cancelled"},
	{"body that stops", post("/orders", "Egretpitch-Deadline-Ms: 50\r\nContent-Length: 9", "x"), "408 not-run body-late"},
	{"empty key", get("/orders/1", "Idempotency-Key: "), "400 not-run bad-key"},
	{"two keys", get("/orders/1", "Idempotency-Key: a", "Idempotency-Key: b"), "400 not-run bad-key"},
	{"long key", get("/orders/1", "Idempotency-Key: "+strings.Repeat("k", 256)), "400 not-run bad-key"},
}

func get(target string, headers ...string) string {
	return "GET " + target + " HTTP/1.1\r\n" + strings.Join(append(headers, "Host: e"), "\r\n") + "\r\n\r\n"
}

func post(target, header, body string) string {
	return "POST " + target + " HTTP/1.1\r\nHost: e\r\n" + header + "\r\n\r\n" + body
}

func TestBadInputIsRefusedAsNotRunAndNotForwarded(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	for _, c := range badInput {
		resp, body := f.raw(t, c.request)
		if got := summarize(resp); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if strings.Contains(body, "127.0.0.1") || strings.Contains(body, "kano") {
			t.Errorf("%s: the response reveals internal names: %q", c.name, body)
		}
		if got := f.received(); got != nil {
			t.Errorf("%s: the upstream received %q", c.name, got)
		}
	}
	if resp, _ := f.raw(t, get("/orders/a%2Fb?c=..")); summarize(resp) != "200 ran " {
		t.Errorf("a valid request got %q", summarize(resp))
	}
}

func TestKeyUsedAgainWithAnotherBodyIsRefused(t *testing.T) {
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	const header = "Idempotency-Key: k1\r\nContent-Length: 2"
	if resp, _ := f.raw(t, post("/orders", header, "ab")); summarize(resp) != "200 ran " {
		t.Fatal(summarize(resp))
	}
	for _, body := range []string{"cd", "ab"} {
		want := map[string]string{"cd": "422 not-run key-reused", "ab": "200 ran "}[body]
		resp, _ := f.raw(t, post("/orders", header, body))
		if got := summarize(resp); got != want {
			t.Errorf("body %q under the same key got %q, want %q", body, got, want)
		}
	}
	if got := f.received(); len(got) != 1 {
		t.Errorf("the upstream received %q", got)
	}
}

// FuzzEntryRequest sends raw bytes to a server and checks that each of its
// responses states whether the request ran. It also passes the request that
// the bytes contain to the handler, which must forward a request exactly if it
// does not answer it as not run.
func FuzzEntryRequest(f *testing.F) {
	for _, c := range badInput {
		if len(c.request) < 1<<10 {
			f.Add(c.request)
		}
	}
	f.Add(get("/orders/1"))
	served := newFixture(f, func(http.ResponseWriter, *http.Request) {})
	handled := newFixture(f, func(http.ResponseWriter, *http.Request) {})
	f.Fuzz(func(t *testing.T, raw string) {
		for _, resp := range served.rawAll(t, raw) {
			fromEntry := resp.Header.Get(outcome.Header) != outcome.Ran.String()
			if resp.StatusCode >= http.StatusOK && fromEntry && resp.Header.Get(ReasonHeader) == "" {
				t.Errorf("%q got %q", raw, summarize(resp))
			}
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		handled.server.http.Handler.ServeHTTP(recorder, request)
		got, summary := handled.received(), summarize(recorder.Result())
		if notRun := strings.Contains(summary, outcome.NotRun.String()); notRun != (got == nil) {
			t.Errorf("%q got %q, and the upstream received %q", raw, summary, got)
		}
	})
}

// rawAll sends the bytes, closes the sending side and returns all responses.
func (f *fixture) rawAll(t testing.TB, request string) []*http.Response {
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, request)
	_ = c.(*net.TCPConn).CloseWrite()
	var answers []*http.Response
	for r := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answers = append(answers, resp)
	}
}
