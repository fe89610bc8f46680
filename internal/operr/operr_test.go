package operr

import (
	"errors"
	"io"
	"testing"
)

func TestErrorCarriesStepAndPeer(t *testing.T) {
	err := Wrap(io.EOF, "link: read answer", "127.0.0.1:7101 (kano-03)")
	if got, want := err.Error(), "link: read answer: 127.0.0.1:7101 (kano-03): EOF"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if !errors.Is(err, io.EOF) {
		t.Error("the cause cannot be found by errors.Is")
	}
	if Wrap(nil, "x", "y") != nil {
		t.Error("Wrap of a nil error is not nil")
	}
}
