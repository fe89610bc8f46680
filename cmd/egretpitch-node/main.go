// Command egretpitch-node runs a process of egretpitch on the users' platform.
// Every process accepts callers' jobs; one process at a time also runs the
// control work, which schedules tasks and moves and maintains hosts.
package main

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/graceful"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/logging"
	"github.com/egretpitch/egretpitch/internal/machine"
	"github.com/egretpitch/egretpitch/internal/node"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/platform"
)

const (
	// ownerGCPercent is the garbage collector's target percentage at the owner of the
	// control work, elsewhere machine.GCPercent. The heap of that one process may be
	// larger, while its processor time limits the estate.
	ownerGCPercent = 300
	// lingerShare is the part of the shutdown grace during which callers are
	// still served while the balancer notices that the process is not ready.
	lingerShare = 0.45
	// shutdownShare is the part of the shutdown grace after which the shutdown
	// is cut short and the process ends.
	shutdownShare = 0.9
	// takeoverCores is the processor share, in cores, from which a host
	// acquires vacant control work at once: with 340 workers the work takes up
	// to 0.4 cores. A smaller host waits first, takeoverBackoffPerCore for each
	// core that it lacks.
	takeoverCores          = 0.4
	takeoverBackoffPerCore = 4 * time.Second
	// maxAdminBody bounds a request to the administration API in bytes.
	maxAdminBody = 4 << 20
	// arrivalTime is how long a shutdown still reads from open connections once
	// the listeners are closed.
	arrivalTime = 300 * time.Millisecond
)

type options struct {
	LogLevel string `long:"log-level" default:"info" description:"debug, info, warn or error"`
	Version  bool   `long:"version" description:"print the version and end"`
}

const examples = `
The environment variable ` + platform.SettingsVariable + ` names the platform's settings file.

Examples:
  ` + platform.SettingsVariable + `=/etc/egretpitch/node.conf egretpitch-node
  ` + platform.SettingsVariable + `=node.conf egretpitch-node --log-level warn

Exit codes: 0 done, 1 failed, 2 command line or settings refused.`

func main() {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	parser.LongDescription = examples
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(config.ExitUsage)
	}
	if opts.Version {
		fmt.Println("egretpitch-node " + config.Version())
		return
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	settings, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(config.ExitUsage)
	}
	if err := run(opts, settings, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(config.ExitFailed)
	}
}

func run(opts options, s *platform.Settings, signals <-chan os.Signal) error {
	debug.SetGCPercent(machine.GCPercent)
	if s.MemoryBytes > 0 {
		machine.LimitHeap(s.MemoryBytes)
	}
	log, flush, err := logging.New(os.Stdout, opts.LogLevel, s.Node)
	if err != nil {
		return err
	}
	defer flush()
	n := newNode(s, log)
	servers, err := serve(n, s)
	if err != nil {
		event.ProcessFailed.Log(log, zap.Error(err))
		return err
	}
	event.ProcessStarted.Log(log, zap.String("callers", s.CallersAddress), zap.String("ready", s.ReadyAddress),
		zap.String("metrics", s.MetricsAddress), zap.String("store", s.Store.Address))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	for {
		select {
		case err := <-done:
			event.ProcessFailed.Log(log, zap.Error(err))
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				// The settings file holds addresses and bounds, which cannot
				// change while the process runs, so it is not read again.
				event.SettingsKept.Log(log)
				continue
			}
			event.ProcessDraining.Log(log)
			grace := time.Duration(float64(s.Bounds.ShutdownGrace) * shutdownShare)
			shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
			defer cancel()
			err := n.Shutdown(shutdownCtx, time.Duration(float64(s.Bounds.ShutdownGrace)*lingerShare), servers...)
			stop()
			event.ProcessStopped.Log(log, zap.Error(err))
			return nil
		}
	}
}

// newNode returns a node with the settings' clients of the platform.
func newNode(s *platform.Settings, log *zap.Logger) *node.Node {
	store := platform.NewStore(s.Store)
	unreadable := func(key string, err error) {
		event.RowUnreadable.Log(log, zap.String("key", key), zap.Error(err))
	}
	return node.New(node.Options{
		Name: s.Node, Address: s.CallersAddress,
		TakeoverBackoff: time.Duration(max(takeoverCores-s.ProcessorShare, 0) * float64(takeoverBackoffPerCore)),
		OwnershipChanged: func(owner bool) {
			percent := machine.GCPercent
			if owner {
				percent = ownerGCPercent
			}
			debug.SetGCPercent(percent)
		},
		ConfigWithin: s.Bounds.ConfigWithin, StrictRevocation: s.Bounds.StrictRevocation, RevokeWithin: s.Bounds.RevokeWithin,
		HolderLease: s.Bounds.HolderLease, Migration: s.Bounds.Migration, Pressure: slices.Contains(s.Contracts, platform.ContractPressure),
		Scheduling: scheduler.Options{
			MaxLease: s.Bounds.MaxLease, StopGrace: s.Bounds.StopGrace, CancelWithin: s.Bounds.CancelWithin, DrainWithin: s.Bounds.DrainWithin,
			CapacityValidity: s.Bounds.Contact + s.Bounds.Heartbeat,
			LearnPerformance: true,
		},
		Rows: store, Operator: platform.NewOperator(store, unreadable), Discovery: platform.NewDiscovery(store, unreadable),
		Runner: platform.NewWorkers(), Fleet: platform.NewFleet(s.Fleet, unreadable), Recommender: platform.NewRecommender(s.Recommender),
		Log: log,
	})
}

// serve listens on the addresses in the settings and returns the servers whose
// requests are answered before the process ends: those of the callers' API and of
// the administration API.
func serve(n *node.Node, s *platform.Settings) ([]node.Server, error) {
	callers := echo.New()
	node.NewQueueAPI(n, node.Codec{
		DecodeJob: platform.DecodeJob, EncodeState: platform.EncodeState, EncodePending: platform.EncodePending,
		DeadlineHeader: platform.DeadlineHeader, CallerKey: platform.CallerKey, Challenge: platform.KeyChallenge,
	}).Register(callers)
	ready := echo.New()
	ready.GET(platform.ReadyPath, func(c echo.Context) error {
		if !n.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	metrics := echo.New()
	metrics.GET("/metrics", echo.WrapHandler(expvar.Handler()))
	node.NewJobsAPI(n).Register(metrics)
	node.NewTeamsAPI(n).Register(metrics)
	node.NewExplainAPI(n).Register(metrics)
	callersServer, err := listen(n, "callers", s.CallersAddress, callers, intake.CallerBounds(s.MemoryBytes, s.FileDescriptors))
	if err != nil {
		return nil, err
	}
	if _, err := listen(n, "ready", s.ReadyAddress, ready, intake.OperatorBounds()); err != nil {
		return nil, err
	}
	metricsServer, err := listen(n, "metrics", s.MetricsAddress, intake.BufferBodies(metrics, intake.JobBodies(maxAdminBody)), intake.OperatorBounds())
	return []node.Server{callersServer, metricsServer}, err
}

// listen serves a handler on an address, and bounds what the clients of that
// listener hold. If the address is empty, the returned server does not listen.
func listen(n *node.Node, name, address string, handler http.Handler, bounds intake.Bounds) (*graceful.Server, error) {
	limiter := intake.New(intake.Options{
		Listener: name, Bounds: bounds, Limits: func() intake.Limits { return intake.Limits(n.Limits()) }, Log: n.Log,
	})
	inner := &http.Server{Handler: handler, BaseContext: n.RequestContext}
	limiter.Configure(inner)
	server := graceful.New(inner, arrivalTime)
	if address == "" {
		return server, nil
	}
	l, err := limiter.Listen(address)
	if err != nil {
		return nil, err
	}
	go func() { _ = server.Serve(l) }() // ends with the server's Shutdown
	return server, nil
}
