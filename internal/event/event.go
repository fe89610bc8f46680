// Package event numbers the events that egretpitch logs. docs/EVENTS.md is
// their catalogue, and a test holds the two together.
package event

import (
	"maps"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a numbered kind of log line. Numbers are never reused.
type Event struct {
	// Number is unique over all events.
	Number int
	// Message is the message of the log line.
	Message string
	// Level is the level at which it is logged.
	Level zapcore.Level
}

// registry holds every event by number. It is filled by package variables
// only, before main starts.
var registry = map[int]Event{}

// New registers an event. It panics on a number that is taken.
func New(number int, level zapcore.Level, message string) Event {
	if old, ok := registry[number]; ok {
		panic("event number taken by " + old.Message)
	}
	e := Event{Number: number, Message: message, Level: level}
	registry[number] = e
	return e
}

// Log writes the event with its number.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	if ce := l.Check(e.Level, e.Message); ce != nil {
		ce.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

// All returns every event in the order of the numbers.
func All() []Event {
	numbers := slices.Sorted(maps.Keys(registry))
	events := make([]Event, 0, len(numbers))
	for _, n := range numbers {
		events = append(events, registry[n])
	}
	return events
}
