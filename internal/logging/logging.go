// Package logging makes the zap logger of a process. Lines are written by a
// goroutine of their own, so that a slow log never stalls traffic; lines that
// find the buffer full are dropped and counted.
package logging

import (
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// bufferedLines is the number of lines that may wait to be written.
const bufferedLines = 8192

// batchBytes is about how much is written at once: half of what a pipe holds
// by default on Linux.
const batchBytes = 32 << 10

const (
	// linesPerSecond is how many lines of one event are written within a
	// second: several times what the busiest process writes at 340 workers.
	linesPerSecond = 4000
	// sampledShare is the part of further lines that is written, one in so many.
	sampledShare = 100
)

// countDropped counts the lines that the sampler leaves out.
func countDropped(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		dropped.Add(1)
	}
}

// dropped counts the lines that were not written (expvar log_dropped_lines).
var dropped = expvar.NewInt("log_dropped_lines")

// Writer is a zapcore.WriteSyncer that never blocks.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// NewWriter returns a writer to out. Close flushes it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.appendBuffered(append(batch[:0], line...))
		_, _ = w.out.Write(batch)
	}
}

// appendBuffered appends the lines that wait, so that a busy process writes many at
// once.
func (w *Writer) appendBuffered(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer; p is copied.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written by Close at the latest.
func (w *Writer) Sync() error { return nil }

// Close writes what is buffered. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// New returns a logger of JSON lines at the level ("debug", "info", "warn",
// "error") with the process's name, and the function that flushes it.
func New(out io.Writer, level, process string) (*zap.Logger, func(), error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "log level %q", level)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	writer := NewWriter(out)
	var core zapcore.Core = zapcore.NewCore(zapcore.NewJSONEncoder(config), writer, parsed)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, sampledShare, zapcore.SamplerHook(countDropped))
	return zap.New(core).With(zap.String("process", process)), writer.Close, nil
}
