package intake

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// Guards against a bound that is exceeded, and against ending a request that is being
// served or more connections than are needed.
func TestBudgetKeepsItsBoundsInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(Bounds{Connections: 8, Bytes: 1 << 20}, func(*client) bool { return false })
		var open []*client
		now := time.Duration(0)
		ended := func(v *client) {
			if v.phase == phaseServing || v.ending {
				t.Fatalf("a connection in phase %d, ending %v, is ended", v.phase, v.ending)
			}
			for w := b.first; w != nil; w = w.next {
				if w.peer == v.peer && w.bytes > 0 && v.bytes > 0 && w.phase == phaseBody && v.phase == phaseBody && w.since < v.since {
					t.Fatalf("a body that has waited since %v is ended, not the one since %v", v.since, w.since)
				}
			}
			b.tellToEnd(v)
		}
		closeEnding := func() {
			var rest []*client
			for _, c := range open {
				if c.ending {
					b.close(c)
				} else {
					rest = append(rest, c)
				}
			}
			open = rest
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				c := &client{}
				b.open(c, netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(1, 3).Draw(t, "peer"))}), now)
				b.serve(c)
				open = append(open, c)
				d, v := b.admit(c, now)
				if v != nil {
					ended(v)
				}
				if closeEnding(); d != granted && b.connections > 8 {
					b.close(c)
					open = open[:len(open)-1]
				}
				b.wait(c, phaseNew, now)
				if c.peer.connections == 0 {
					b.leave(c)
				}
				continue
			}
			c := open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				b.serve(c)
			case 1, 2:
				b.wait(c, phaseBody, now)
			case 3:
				b.wait(c, phaseAnswer, now)
			default:
				b.release(c, c.bytes)
				b.wait(c, phaseIdle, now)
			}
			n := int64(rapid.IntRange(1, 1<<19).Draw(t, "bytes"))
			for d, v := b.take(c, n, now); d == later; d, v = b.take(c, n, now) {
				if v == nil {
					t.Fatal("a demand waits though nothing was told to end")
				}
				ended(v)
				closeEnding()
			}
			if b.connections > 8 {
				t.Fatalf("%d connections", b.connections)
			}
			sum, most := int64(0), int64(0)
			for _, o := range open {
				sum, most = sum+o.bytes, max(most, o.bytes)
			}
			if sum != b.bytes || sum > 1<<20 && sum != most {
				t.Fatalf("%d bytes are held, %d are counted", sum, b.bytes)
			}
		}
	})
}

// Guards against one address that holds everything while others ask.
func TestOneAddressLeavesPartOfTheBudget(t *testing.T) {
	b := newBudget(Bounds{Connections: 100, Bytes: 1 << 20}, func(*client) bool { return false })
	a, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for range 100 {
		c := &client{}
		b.open(c, a, 0)
		b.serve(c)
		_, _ = b.take(c, smallBytes, 0)
	}
	c := &client{}
	b.open(c, other, 0)
	if d, _ := b.take(c, smallBytes, 0); d != granted {
		t.Error("the body of another address is refused")
	}
	waiting := b.peers[a]
	first := &client{}
	b.open(first, a, time.Second)
	if _, v := b.admit(c, 2*time.Second); v == nil || v.peer != waiting {
		t.Errorf("a connection of another address is admitted for %+v", v)
	}
}

// Guards against closing callers that a busy process has not got round to.
func TestConnectionWithUnreadBytesIsNotClosedForAnother(t *testing.T) {
	unread := map[*client]bool{}
	b := newBudget(Bounds{Connections: 2, Bytes: 1}, func(c *client) bool { return unread[c] })
	first, second, third := &client{}, &client{}, &client{}
	for i, c := range []*client{first, second, third} {
		b.open(c, netip.Addr{}, time.Duration(i))
	}
	unread[first] = true
	if d, v := b.admit(third, 3); d != later || v != second {
		t.Errorf("decision %d, ended is %+v; want the second", d, v)
	}
	unread[second] = true
	if d, v := b.admit(third, 3); d != later || v != nil {
		t.Errorf("decision %d, ended is %+v; want the third to wait", d, v)
	}
}

func TestTimeoutsByPhase(t *testing.T) {
	l := Limits{}.orDefaults()
	const stall = 40 * time.Second
	for p, want := range map[phase]time.Duration{
		phaseNew: l.HeaderTimeout, phaseHeader: l.HeaderTimeout, phaseIdle: l.IdleTimeout, phaseBody: stall, phaseAnswer: stall,
	} {
		b := newBudget(Bounds{Connections: 1, Bytes: 1}, func(*client) bool { return false })
		c := &client{}
		b.open(c, netip.Addr{}, 0)
		b.wait(c, p, 0)
		if b.overdue(l, stall, want) != nil || b.overdue(l, stall, want+1) != c {
			t.Errorf("phase %d does not end after %v", p, want)
		}
	}
}
