// Command egretpitch-entry accepts requests from callers over HTTP and forwards
// them to upstreams.
package main

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/daemon"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/entry"
	"github.com/egretpitch/egretpitch/internal/membership"
)

func main() {
	c, err := config.LoadEntry(os.Args[1:])
	if err != nil {
		os.Exit(config.Report(err, os.Stdout, os.Stderr))
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(config.ExitFailed)
	}
}

// run runs the entry until it fails or receives a stop signal.
func run(c *config.Entry) error {
	d, err := daemon.New(&c.Process)
	if err != nil {
		return err
	}
	boot, err := membership.BootID()
	if err != nil {
		return err
	}
	e := entry.New(entry.Options{
		Name: c.Name, Address: d.RPCAddress, Control: c.Control, Boot: boot, Incarnation: d.Incarnation,
		Place:    datacentre.Place{Region: c.Region, DataCentre: c.DataCentre, Rack: c.Rack},
		Platform: d.Platform, Memory: c.Limits.MemoryBytes(), FileDescriptors: c.Limits.FileDescriptors, Log: d.Log,
	})
	d.RegisterReady(e.Ready)
	server := e.NewServer()
	callers, err := server.Listen(c.Listen)
	if err != nil {
		return err
	}
	work := func(ctx context.Context) error {
		go func() { _ = server.Serve(callers) }()
		return e.Run(ctx)
	}
	return d.Run(work, server.Shutdown, zap.String("callers", callers.Addr().String()))
}
