//go:build !race

package test

// raceFlags is empty if the tests run without the race detector.
var raceFlags []string
