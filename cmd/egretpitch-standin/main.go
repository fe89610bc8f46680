// Command egretpitch-standin simulates the platform for tests and the demo: the
// table service, the object store, the host list, and workers that also serve as
// upstreams.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/settings"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// options holds the flags of the command.
type options struct {
	Settings    string        `long:"settings" description:"settings tree whose hosts to play" required:"true"`
	Listen      string        `long:"listen" description:"address of the platform's services" default:"127.0.0.1:7000"`
	Entries     []string      `long:"entry" description:"name of an entry host to list (repeat for each)"`
	Reboot      time.Duration `long:"reboot" description:"how long a worker stays away when it reboots" default:"2s"`
	Processors  int           `long:"processors" description:"cores of each worker" default:"64"`
	MemoryMB    int           `long:"memory-mb" description:"memory of each worker in MiB" default:"131072"`
	Slots       int           `long:"slots" description:"requests that each worker runs at once" default:"8"`
	Connections int           `long:"connections" description:"connections that each worker accepts" default:"64"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves the platform until SIGTERM or an interrupt.
func run(o options) error {
	p := standin.NewPlatform()
	p.Fleet.RebootTime = o.Reboot
	if err := addWorkers(p.Fleet, o); err != nil {
		return err
	}
	defer p.Fleet.Close()
	for _, name := range o.Entries {
		p.Fleet.SetListed(name, &platform.ListedHost{
			Host: host.Host{Name: name}, State: platform.HostLive, Entry: true,
		})
	}
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	p.Register(router)
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	router.Listener = listener
	fmt.Printf("stand-in listens on %s\n", listener.Addr())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = router.Close() })
	_ = router.Start("")
	return nil
}

// addWorkers starts a worker for each host of the settings tree, in the order of
// their names.
func addWorkers(fleet *standin.Fleet, o options) error {
	data, err := os.ReadFile(o.Settings)
	if err != nil {
		return err
	}
	tree, err := settings.Parse(o.Settings, data)
	if err != nil {
		return err
	}
	effective, err := tree.Effective()
	if err != nil {
		return err
	}
	names := make([]string, 0, len(effective.Places))
	for name := range effective.Places {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := host.Host{
			Name: name, Address: "127.0.0.1:0", Place: effective.Places[name],
			Processors: o.Processors, MemoryMB: o.MemoryMB, Slots: o.Slots, Connections: o.Connections,
		}
		if err := fleet.Add(h); err != nil {
			return err
		}
	}
	return nil
}
