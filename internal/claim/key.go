package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/pkg/errors"
)

// MaxKeyBytes is the length of the longest idempotency key.
const MaxKeyBytes = 255

// Key is a valid idempotency key.
type Key string

// Digest identifies the request that a key was used for.
type Digest string

// ParseKey returns the idempotency key in a request's headers, or an empty key
// if there is none. It returns an error if the header is repeated, or if the key
// is empty, too long or not printable ASCII without spaces.
func ParseKey(h http.Header) (Key, error) {
	values := h.Values(Header)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", errors.Errorf("header %s is present %d times, want at most once", Header, len(values))
	}
	value := values[0]
	if value == "" || len(value) > MaxKeyBytes {
		return "", errors.Errorf("header %s has %d bytes, want 1 to %d", Header, len(value), MaxKeyBytes)
	}
	for i := 0; i < len(value); i++ {
		if value[i] < '!' || value[i] > '~' {
			return "", errors.Errorf("header %s: byte %d is a space or not printable ASCII", Header, i)
		}
	}
	return Key(value), nil
}

// NewDigest returns the digest of a request with the method, URI and body.
func NewDigest(method, uri string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), body} {
		// Each part is preceded by its length, since different parts may
		// concatenate to the same bytes.
		var size [8]byte
		for i := range size {
			size[i] = byte(len(part) >> (8 * i))
		}
		h.Write(size[:])
		h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)))
}
