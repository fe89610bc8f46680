// Command standin-2 plays a case of the second review: it starts the processes of
// the system against small stand-ins of the platform, its workers and its clients,
// and judges by what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay bounds a play.
const maxPlay = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	why    string
}

// scenario plays a case, with the disruption if trouble is set.
type scenario func(o *world, trouble bool) (verdict, error)

var scenarios = map[string]scenario{
	"crashes":  crashes,
	"rebooted": rebooted,
	"large":    largeJobs,
	"silent":   silent,
	"rows":     manyRows,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the record")
	flag.Parse()
	os.Exit(play(*name, *dir))
}

func play(name, dir string) int {
	scenario, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	o, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	var v verdict
	done := make(chan struct{})
	go func() {
		defer close(done)
		v, err = scenario(o, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-done:
	case <-time.After(maxPlay):
		_ = o.end() // the case did not run in any event
		fmt.Fprintln(os.Stderr, "the play takes too long")
		return exitNotRun
	}
	switch {
	case err != nil:
		o.note("not run: %v", err)
	case v.broken:
		o.note("BROKEN: %s", v.why)
	default:
		o.note("held: %s", v.why)
	}
	if endErr := o.end(); err == nil {
		err = endErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case v.broken:
		fmt.Println("broken:", v.why)
		return exitBroken
	}
	fmt.Println("held:", v.why)
	return exitHeld
}
