package link

import (
	"context"
	"crypto/rand"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// closePoll is the interval at which Close checks whether all connections are
// closed.
const closePoll = 5 * time.Millisecond

// errUnknownHost is the error of a request to a host that is not assigned.
var errUnknownHost = errors.New("host is not assigned")

// Set manages all upstream connections of an entry. Its methods are safe for
// concurrent use.
type Set struct {
	opts   Options
	dialer *net.Dialer
	// hosts is an immutable map by host name that is replaced as a whole, so that
	// requests read it without a lock.
	hosts atomic.Pointer[map[string]*hostLinks]
	// idPrefix is unique to the set; ids is the number of request IDs used.
	idPrefix string
	ids      atomic.Uint64

	// mu serializes Resize and Close and guards the fields below.
	mu sync.Mutex
	// draining lists hosts that are no longer assigned but still have
	// connections.
	draining []*hostLinks
	closed   bool
}

// NewSet returns a set without hosts.
func NewSet(opts Options) *Set {
	s := &Set{opts: opts.withDefaults(), idPrefix: rand.Text() + "-"}
	s.dialer = newDialer(s.opts)
	s.hosts.Store(&map[string]*hostLinks{})
	return s
}

// Resize sets the hosts and the maximum number of connections of each. When it
// returns, a host that is not listed gets no new requests: its idle
// connections are closed, and busy ones will be closed when their answer was
// received completely.
func (s *Set) Resize(shares []Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	old := *s.hosts.Load()
	allLinks := s.allLinks()
	hosts := make(map[string]*hostLinks, len(shares))
	for _, share := range shares {
		h := allLinks[endpoint{share.Host.Name, share.Host.Address}]
		if h == nil {
			h = newHostLinks(s, share.Host.Name, share.Host.Address)
		}
		h.resize(share.Connections)
		hosts[share.Host.Name] = h
	}
	s.replace(old, hosts)
}

// endpoint identifies a hostLinks.
type endpoint struct{ name, address string }

// allLinks returns the hostLinks of all hosts, including those that are
// draining: a host that is assigned again keeps the count of its open
// connections.
func (s *Set) allLinks() map[endpoint]*hostLinks {
	allLinks := map[endpoint]*hostLinks{}
	for _, h := range s.draining {
		allLinks[endpoint{h.name, h.address}] = h
	}
	for _, h := range *s.hosts.Load() {
		allLinks[endpoint{h.name, h.address}] = h
	}
	return allLinks
}

// replace makes hosts the current hosts and drains those of old that are not
// in it.
func (s *Set) replace(old, hosts map[string]*hostLinks) {
	s.hosts.Store(&hosts)
	var draining []*hostLinks
	for _, h := range s.draining {
		if hosts[h.name] != h && h.usage().Open > 0 {
			draining = append(draining, h)
		}
	}
	for name, h := range old {
		if hosts[name] != h {
			h.drain()
			draining = append(draining, h)
		}
	}
	s.draining = draining
}

// Do sends a request to a host and returns its answer. The error, if any, is
// an *Error.
func (s *Set) Do(ctx context.Context, hostName string, req *Request) (*Answer, error) {
	if err := req.check(); err != nil {
		return nil, notRun("link: check request", hostName, err)
	}
	h := (*s.hosts.Load())[hostName]
	if h == nil {
		return nil, notRun("link: find host", hostName, errUnknownHost)
	}
	c, err := h.acquire(ctx, !req.MayRepeat)
	if err != nil {
		return nil, notRun("link: connect", h.peer, err)
	}
	return newExchange(h, c, req).run(ctx)
}

// newID returns a unique value for RequestIDHeader.
func (s *Set) newID() string { return s.idPrefix + strconv.FormatUint(s.ids.Add(1), 36) }

// notRun returns the error of a request of which nothing was written.
func notRun(step, peer string, err error) *Error {
	return &Error{Step: step, Peer: peer, Outcome: outcome.NotRun, Err: err}
}

// Use returns the current usage of each host, including those that are
// draining.
func (s *Set) Use() []HostUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var uses []HostUse
	for _, h := range *s.hosts.Load() {
		uses = append(uses, h.usage())
	}
	for _, h := range s.draining {
		if u := h.usage(); u.Open > 0 {
			uses = append(uses, u)
		}
	}
	return uses
}

// Open returns the number of open connections to the host with the name,
// including those of a draining host with that name.
func (s *Set) Open(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	if h := (*s.hosts.Load())[name]; h != nil {
		open = h.usage().Open
	}
	for _, h := range s.draining {
		if h.name == name {
			open += h.usage().Open
		}
	}
	return open
}

// Close stops new requests and waits until every busy connection has received
// its answer and all connections are closed, or ctx ends.
func (s *Set) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.replace(*s.hosts.Load(), map[string]*hostLinks{})
	s.mu.Unlock()
	ticker := time.NewTicker(closePoll)
	defer ticker.Stop()
	for len(s.Use()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "link: close")
		}
	}
	return nil
}
