// Package event defines the numbered events that egretpitch logs.
// docs/EVENTS.md documents each of them; a test fails if the two differ.
package event

import (
	"maps"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line with a fixed number, message and level. The
// number of a removed event is never reused.
type Event struct {
	// Number is unique over all events.
	Number int
	// Message is the constant text of the log line; details are in its fields.
	Message string
	// Level is the level at which it is logged.
	Level zapcore.Level
}

// registry holds every event by number. Only the initialization of package
// variables writes to it, before main starts, so it needs no lock.
var registry = map[int]Event{}

// New registers an event and returns it. It panics if the number is already in
// use.
func New(number int, level zapcore.Level, message string) Event {
	if old, ok := registry[number]; ok {
		panic("event number already used by " + old.Message)
	}
	e := Event{Number: number, Message: message, Level: level}
	registry[number] = e
	return e
}

// Log writes the event with the given fields and its number as field event.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	if ce := l.Check(e.Level, e.Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

// All returns every registered event, sorted by number.
func All() []Event {
	numbers := slices.Sorted(maps.Keys(registry))
	events := make([]Event, 0, len(numbers))
	for _, n := range numbers {
		events = append(events, registry[n])
	}
	return events
}
