// Command harness plays the cases of the independent review: it starts the
// project's processes with the command of the deploy file, plays their clients,
// their workers and the platform, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name. Each returns what broke the rule, empty if the
// rule held.
var cases = map[string]func(w *world) (broken []string, err error){
	"held":   playHeldOrders,
	"frozen": playFrozen,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCannotRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.close()
		os.Exit(exitCannotRun)
	}()
	broken, err := cases[name](w)
	switch {
	case err != nil:
		w.note("case", "could not run: %v", err)
		return exitCannotRun
	case len(broken) > 0:
		for _, b := range broken {
			w.note("verdict", "BROKEN: %s", b)
		}
		return exitBroken
	}
	w.note("verdict", "the rule held")
	return exitHeld
}
