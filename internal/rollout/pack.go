package rollout

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"

	"github.com/egretpitch/egretpitch/internal/operr"
)

// maxTreeBytes is the maximum size of an unpacked tree.
const maxTreeBytes = 64 << 20

// errTreeTooLarge is returned for a packed tree that exceeds maxTreeBytes.
var errTreeTooLarge = errors.New("tree is too large")

// Pack compresses a tree with gzip for transfer to another process.
func Pack(tree []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(tree)
	_ = w.Close()
	return packed.Bytes()
}

// Unpack returns the tree that Pack compressed.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, operr.Wrap(err, "rollout: unpack tree", "")
	}
	tree, err := io.ReadAll(io.LimitReader(r, maxTreeBytes+1))
	if err != nil {
		return nil, operr.Wrap(err, "rollout: unpack tree", "")
	}
	if len(tree) > maxTreeBytes {
		return nil, operr.Wrap(errTreeTooLarge, "rollout: unpack tree", "")
	}
	return tree, nil
}
