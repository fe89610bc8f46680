package logging

import (
	"bytes"
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestBlockedOutputHoldsNobodyUp guards against a logger that blocks its caller
// on a blocked output, here a pipe without a reader: lines must be dropped and
// counted instead.
func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	read, write := io.Pipe()
	log, _, err := New(write, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	before := dropped.Value()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i := range bufferedLines + 3*linesPerSecond {
			log.Info("line", zap.Int("number", i))
		}
	}()
	select {
	case <-finished:
	case <-time.After(20 * time.Second):
		t.Fatal("logging blocks on its output")
	}
	if dropped.Value() == before {
		t.Error("no dropped line was counted")
	}
	_ = read.Close()
}

// TestLinesOfOneEventAreBounded writes more lines of one event than the sampler
// permits each second, and then one line of another event, which must not be
// dropped.
func TestLinesOfOneEventAreBounded(t *testing.T) {
	var out bytes.Buffer
	log, flush, err := New(&out, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	const lines = 3 * linesPerSecond
	begin := time.Now()
	for range lines {
		log.Info("frequent")
	}
	seconds := int(time.Since(begin)/time.Second) + 1
	log.Info("rare")
	flush()
	if got, most := bytes.Count(out.Bytes(), []byte("frequent")), (seconds+1)*(linesPerSecond+lines/sampledShare); got > most {
		t.Errorf("%d lines in %d s, at most %d are allowed", got, seconds, most)
	}
	if bytes.Count(out.Bytes(), []byte("rare")) != 1 {
		t.Error("the line of another event is missing")
	}
}
