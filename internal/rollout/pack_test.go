package rollout

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// TestPackedTreeComesBackWhole guards against trees that change in transfer
// and against truncated ones being accepted.
func TestPackedTreeComesBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := rapid.SliceOfN(rapid.Byte(), 0, 4096).Draw(t, "tree")
		packed := Pack(tree)
		got, err := Unpack(packed)
		if err != nil || !bytes.Equal(got, tree) {
			t.Fatalf("got %d bytes and %v, want %d", len(got), err, len(tree))
		}
		cut := rapid.IntRange(0, len(packed)-1).Draw(t, "cut")
		if _, err := Unpack(packed[:cut]); err == nil {
			t.Fatalf("a tree truncated to %d of %d bytes was accepted", cut, len(packed))
		}
	})
}
