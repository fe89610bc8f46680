package intake

import (
	"expvar"
	"maps"
	"sync"
)

var (
	publishOnce sync.Once
	publishedMu sync.Mutex
	// published are the limiters by listener.
	published = map[string]*Limiter{}
)

// publish shows the limiter in the metric egretpitch_intake, unless there is one of
// its listener.
func publish(l *Limiter) {
	publishedMu.Lock()
	defer publishedMu.Unlock()
	if published[l.Listener] == nil {
		published[l.Listener] = l
	}
	publishOnce.Do(func() { expvar.Publish("egretpitch_intake", expvar.Func(metrics)) })
}

// metrics returns for each listener what its clients hold, the bounds, and counters
// by reason.
func metrics() any {
	publishedMu.Lock()
	limiters := maps.Clone(published)
	publishedMu.Unlock()
	out := map[string]any{}
	for name, l := range limiters {
		l.mu.Lock()
		counts := map[string]int64{}
		for why, n := range l.counts {
			counts[string(why)] = n
		}
		out[name] = map[string]any{
			"connections": l.budget.connections, "max_connections": l.budget.Connections,
			"bytes": l.budget.bytes, "max_bytes": l.budget.Bytes, "counts": counts,
		}
		l.mu.Unlock()
	}
	return out
}
