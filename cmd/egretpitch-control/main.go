// Command egretpitch-control is a control process: it owns shards, one per pool,
// and does the control work for their pools, and it serves the administration
// API.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/control"
	"github.com/egretpitch/egretpitch/internal/daemon"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

func main() {
	c, err := config.LoadControl(os.Args[1:])
	if err != nil {
		os.Exit(config.Report(err, os.Stdout, os.Stderr))
	}
	if err := run(c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(config.ExitFailed)
	}
}

// run runs the control process until it fails or receives a stop signal.
func run(c *config.Control) error {
	d, err := daemon.New(&c.Process)
	if err != nil {
		return err
	}
	m := control.New(control.Options{
		Name: c.Name, Address: d.RPCAddress, AdminAddress: d.AdminAddress,
		Incarnation: d.Incarnation, Platform: d.Platform, Log: d.Log,
	})
	d.RegisterReady(m.Ready)
	m.RegisterAdmin(d.Admin)
	if err := controlpb.DRPCRegisterControl(d.RPC, m); err != nil {
		return err
	}
	return d.Run(m.Run, func(context.Context) error { return nil })
}
