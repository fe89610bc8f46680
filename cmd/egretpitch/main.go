// Command egretpitch is the command line for operators. It calls the
// administration API of a control process.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args[1:], command.Environment{
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Connect: func(server string) command.API { return adminapi.NewClient(server) },
	})
	stop()
	os.Exit(code)
}
