package link

import (
	"maps"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// hopByHop lists the headers that apply to a single connection only (RFC 9110,
// section 7.6.1), in canonical form.
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// removeHopByHop deletes the headers that apply to a single connection only,
// including those that the Connection header lists.
func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// requestHeader returns the header to send, with the ID of the try. "Expect"
// is removed since the body is already available. A nil User-Agent keeps
// net/http from adding its own.
func requestHeader(h http.Header, id string) http.Header {
	sent := make(http.Header, len(h)+1)
	maps.Copy(sent, h)
	removeHopByHop(sent)
	delete(sent, "Expect")
	if _, ok := sent["User-Agent"]; !ok {
		sent["User-Agent"] = nil
	}
	sent[RequestIDHeader] = []string{id}
	return sent
}

// check returns an error if the request's method, URI or headers cannot be
// sent unchanged and unambiguously.
func (r *Request) check() error {
	if !httpguts.ValidHeaderFieldName(r.Method) {
		return errors.Errorf("method %q is not a token", r.Method)
	}
	if r.Method == http.MethodConnect {
		return errors.New("CONNECT is not forwarded")
	}
	if !validURI(r.URI) {
		return errors.Errorf("URI %q does not start with one slash or has a space or control character", r.URI)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("header name %q is not a token", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Errorf("value of header %q has a control character", name)
			}
		}
	}
	return nil
}

// validURI reports whether the URI is valid in a request line.
func validURI(uri string) bool {
	if !strings.HasPrefix(uri, "/") || strings.HasPrefix(uri, "//") {
		return false
	}
	for i := 0; i < len(uri); i++ {
		if uri[i] <= ' ' || uri[i] == 0x7f {
			return false
		}
	}
	return true
}
