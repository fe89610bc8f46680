package estate

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/egretpitch/egretpitch/internal/placement"
)

// KeyDigest is the SHA-256 digest of a caller's key. Keys themselves are not kept.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is the part of a digest that may be shown.
const fingerprintBytes = 4

// Fingerprint returns the first 8 hexadecimal digits of the digest, which may be
// logged and shown.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// String returns the fingerprint, so that no log line shows the digest.
func (d KeyDigest) String() string { return d.Fingerprint() }

// MarshalText implements encoding.TextMarshaler. It returns the fingerprint.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(d.Fingerprint()), nil }

// Team is a group of callers with shared quotas.
type Team struct {
	Name string
	// Weight is the team's share of a full pool in proportion to those of the
	// others, and the number of jobs a second that it may expect to be served.
	Weight float64
	// Quota bounds what the team's tasks hold on all workers together. A resource
	// of 0 is not bounded.
	Quota placement.Resources
	// Keys are the digests of the keys that identify the team's callers.
	Keys []KeyDigest
}

// maxProblems bounds the problems that a catalog holds, since each is logged.
const maxProblems = 20

// AddProblem records a contradiction in the configuration that does not keep it
// from being used. The text must hold no key.
func (c *Catalog) AddProblem(format string, args ...any) {
	if len(c.Problems) < maxProblems {
		c.Problems = append(c.Problems, fmt.Sprintf(format, args...))
	}
}

// SetTeams sets the teams of a catalog that is not in use yet. From then on it
// requires keys, also if there are no teams. A name that is listed twice is one
// team, with the keys of both entries and the other values of the first. A key
// that several teams list belongs to the one whose name comes first, so that all
// processes agree whatever the order of the list. Both are recorded as problems.
func (c *Catalog) SetTeams(teams []*Team) {
	c.RequiresKeys = true
	c.Teams = make(map[string]*Team, len(teams))
	c.teamOfKey = map[KeyDigest]*Team{}
	for _, t := range teams {
		first := c.Teams[t.Name]
		switch {
		case t.Name == "":
			c.AddProblem("a team without a name and its %d keys are left out", len(t.Keys))
		case first != nil:
			c.AddProblem("team %q is listed twice: the keys of both entries are valid, weight and quota are those of the first", t.Name)
			first.Keys = append(first.Keys, t.Keys...)
		default:
			team := *t
			team.Keys = slices.Clone(t.Keys)
			c.Teams[t.Name] = &team
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		t := c.Teams[name]
		t.Keys = slices.DeleteFunc(t.Keys, func(d KeyDigest) bool {
			other := c.teamOfKey[d]
			if other == nil {
				c.teamOfKey[d] = t
			} else if other != t {
				c.AddProblem("the key with fingerprint %s is listed by the teams %q and %q: it belongs to the first", d.Fingerprint(), other.Name, name)
			}
			return other != nil
		})
	}
}

// TeamOf returns the team that a key belongs to, nil if it belongs to none. The
// lookup compares digests, so its time tells nothing about the keys.
func (c *Catalog) TeamOf(d KeyDigest) *Team { return c.teamOfKey[d] }

// KeyCount returns the number of valid keys.
func (c *Catalog) KeyCount() int { return len(c.teamOfKey) }
