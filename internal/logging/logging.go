// Package logging creates the zap logger of a process. A separate goroutine
// writes the lines, so that a slow log output never delays traffic. A line that
// arrives when the buffer is full is dropped and counted.
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

// bufferedLines is the capacity of a Writer's buffer, in lines.
const bufferedLines = 8192

// batchBytes is the approximate size of one write, in bytes: half the default
// capacity of a pipe on Linux.
const batchBytes = 32 << 10

const (
	// linesPerSecond is the number of lines with the same message that are
	// written each second before sampling starts: several times what the
	// busiest process writes at 340 workers.
	linesPerSecond = 4000
	// sampledShare is the sampling rate beyond linesPerSecond: one line in this
	// many is written.
	sampledShare = 100
)

// countDropped is the sampler's hook; it counts the lines that the sampler drops.
func countDropped(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		dropped.Add(1)
	}
}

// dropped counts the lines that were not written, because of a full or closed
// buffer or of sampling (expvar log_dropped_lines).
var dropped = expvar.NewInt("log_dropped_lines")

// Writer is a zapcore.WriteSyncer whose Write never blocks on the output. Its
// methods may be called concurrently.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	mu     sync.RWMutex
	closed bool
	done   chan struct{}
}

// NewWriter returns a Writer to out and starts the goroutine that writes.
// Close flushes it and ends the goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// run writes buffered lines to the output until Close.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = w.appendBuffered(append(batch[:0], line...))
		_, _ = w.out.Write(batch)
	}
}

// appendBuffered appends the buffered lines to the batch, up to about
// batchBytes, so that a busy process writes many lines in one call.
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

// Write implements io.Writer. It copies p into the buffer, or drops it if the
// buffer is full or the Writer is closed; it never returns an error.
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

// Sync implements zapcore.WriteSyncer. It does nothing: Close flushes the
// buffer.
func (w *Writer) Sync() error { return nil }

// Close writes the buffered lines and waits until they are written. Lines that
// are logged later are dropped. It may be called more than once.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// New returns a logger that writes JSON lines at the level ("debug", "info",
// "warn" or "error") and above to out, and a function that flushes and closes
// it. Each line has the process's name as field process. New returns an error
// for an unknown level.
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
