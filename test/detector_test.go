//go:build race

package test

// raceFlags are build flags that enable the race detector in the programs if
// the tests run with it.
var raceFlags = []string{"-race"}
