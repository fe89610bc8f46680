// Package daemon provides the common parts of egretpitch's long-running
// processes: logging, the administration HTTP server with metrics, the drpc
// server, and shutdown on signals.
package daemon

import (
	"cmp"
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/egretpitch/egretpitch/internal/config"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/intake"
	"github.com/egretpitch/egretpitch/internal/logging"
	"github.com/egretpitch/egretpitch/internal/machine"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/platform/httpapi"
)

const (
	// maxHeaderBytes is the maximum size of the header of a request to the
	// administration address. net/http allows headerSlop more, and answers a larger
	// one.
	maxHeaderBytes = 64 << 10
	headerSlop     = 4 << 10
	// headerTimeout is the time in which a header must arrive there, and idleTimeout
	// how long a connection may be idle or a client may stop during a body or an
	// answer.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// adminLimits returns the limits on clients of the administration address.
func adminLimits() intake.Limits {
	return intake.Limits{MaxHeaderBytes: maxHeaderBytes + headerSlop, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// drainTimeout is the longest time that a graceful shutdown may take.
const drainTimeout = 60 * time.Second

// Daemon holds the logger, servers and platform clients of one process.
type Daemon struct {
	Log *zap.Logger
	// Admin is served on the administration address by Run.
	Admin *echo.Echo
	// RPC is served on the drpc address by Run.
	RPC *drpcmux.Mux
	// Platform holds the clients of the platform's services.
	Platform *platform.Platform
	// Incarnation is a random number that identifies this run of the process.
	Incarnation uint64
	// RPCAddress and AdminAddress are the bound addresses, with the actual port
	// if port 0 was configured.
	RPCAddress, AdminAddress string

	flush                      func()
	adminListener, rpcListener net.Listener
	adminServer                *http.Server
	limiter                    *intake.Limiter
}

// New creates the logger and platform clients of a process and binds its
// addresses. Nothing is served before Run. It returns an error for an unknown
// log level or an address that cannot be bound.
func New(p *config.Process) (*Daemon, error) {
	log, flush, err := logging.New(os.Stderr, p.LogLevel, p.Name)
	if err != nil {
		return nil, err
	}
	memory := cmp.Or(p.Limits.MemoryBytes(), machine.Memory())
	if p.Limits.MemoryMB > 0 {
		machine.LimitHeap(p.Limits.MemoryBytes())
	}
	d := &Daemon{
		Log: log, flush: flush, Admin: echo.New(), RPC: drpcmux.New(), Incarnation: rand.Uint64(),
		Platform: httpapi.New(httpapi.Services{
			Table: p.Platform.Table, Objects: p.Platform.Objects,
			Hosts: p.Platform.Hosts, Workers: p.Platform.Workers,
		}),
	}
	d.Admin.HideBanner = true
	d.Admin.HidePort = true
	d.limiter = intake.New(intake.Options{
		Listener: "admin", Bounds: intake.AdminBounds(memory, cmp.Or(p.Limits.FileDescriptors, machine.FileDescriptors())),
		Limits: adminLimits, Log: log,
	})
	d.adminServer = &http.Server{
		Handler:        intake.BufferBodies(d.Admin, intake.TreeBodies(memory)),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: d.Admin.StdLogger,
	}
	d.limiter.Configure(d.adminServer)
	d.Admin.GET("/metrics", echo.WrapHandler(expvar.Handler()))
	if d.adminListener, err = net.Listen("tcp", p.AdminListen); err != nil {
		return nil, operr.Wrap(err, "listen on the administration address", p.AdminListen)
	}
	if p.Limits.MemoryMB > 0 {
		if err := d.limiter.BoundBuffers(d.adminListener); err != nil {
			return nil, operr.Wrap(err, "listen on the administration address", p.AdminListen)
		}
	}
	if d.rpcListener, err = net.Listen("tcp", p.RPCListen); err != nil {
		return nil, operr.Wrap(err, "listen on the drpc address", p.RPCListen)
	}
	d.AdminAddress = d.adminListener.Addr().String()
	d.RPCAddress = d.rpcListener.Addr().String()
	return d, nil
}

// RegisterReady serves /ready on the administration address: status 200 while
// ready returns true, otherwise 503.
func (d *Daemon) RegisterReady(ready func() bool) {
	d.Admin.GET("/ready", func(c echo.Context) error {
		if !ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
}

// Run starts the servers, runs work, and returns its error if it ends by
// itself. On the first SIGTERM or interrupt it calls shutdown, which drains the
// process while the servers still run and work's context is still valid; then
// it cancels that context and waits for work. A second signal makes Run return
// nil at once. The fields are added to the event ProcessStarted.
func (d *Daemon) Run(work func(context.Context) error, shutdown func(context.Context) error, fields ...zap.Field) error {
	defer d.flush()
	fields = append(fields, zap.String("rpc", d.RPCAddress), zap.String("admin", d.AdminAddress))
	event.ProcessStarted.Log(d.Log, fields...)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	go func() { _ = drpcserver.New(d.RPC).Serve(serveCtx, d.rpcListener) }()
	go func() { _ = d.adminServer.Serve(d.limiter.Wrap(d.adminListener)) }() // ends with Close
	defer d.adminServer.Close()
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	select {
	case err := <-done:
		return err
	case <-signals:
	}
	return d.drain(signals, stop, done, shutdown)
}

// drain shuts down gracefully, or returns at once on another signal.
func (d *Daemon) drain(signals <-chan os.Signal, stop func(), done <-chan error, shutdown func(context.Context) error) error {
	event.ProcessDraining.Log(d.Log)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	finished := make(chan error, 1)
	go func() {
		err := shutdown(ctx)
		stop()
		if workErr := <-done; err == nil {
			err = workErr
		}
		finished <- err
	}()
	select {
	case err := <-finished:
		event.ProcessStopped.Log(d.Log, zap.Error(err))
		return err
	case <-signals:
		event.ProcessStopped.Log(d.Log, zap.Bool("second_signal", true))
		return nil
	}
}
