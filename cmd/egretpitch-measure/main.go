// Command egretpitch-measure measures the resource usage of entry and control
// processes, and the processor time of decisions, at several sizes of an estate
// and fits a line through the samples.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/egretpitch/egretpitch/internal/measure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := measure.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
