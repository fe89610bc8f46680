package retry

import "slices"

// Tried is the set of hosts that a request was already sent to or refused by.
// The zero value is empty. It is a list, as a request tries few hosts.
type Tried struct{ hosts []string }

// Add adds a host if it is not in the set.
func (t *Tried) Add(hostName string) {
	if !t.Has(hostName) {
		t.hosts = append(t.hosts, hostName)
	}
}

// Has reports whether the host was tried.
func (t *Tried) Has(hostName string) bool { return slices.Contains(t.hosts, hostName) }

// Len returns how many hosts were tried.
func (t *Tried) Len() int { return len(t.hosts) }
