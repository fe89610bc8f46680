package workload

import (
	"testing"
	"time"
)

func TestOccurrencesDoNotOverflowTheBoundOnTasks(t *testing.T) {
	for _, c := range []struct {
		count, occurrences int
		ok                 bool
	}{{1, maxTasks, true}, {1, maxTasks + 1, false}, {3, maxTasks / 3, true}, {3, maxTasks/3 + 1, false}, {4, 1 << 62, false}, {16, 1 << 60, false}} {
		j := &Job{Steps: []Step{{Count: c.count}}, Schedule: &Schedule{Interval: time.Second, Occurrences: c.occurrences}}
		if err := j.Check(); (err == nil) != c.ok {
			t.Errorf("%d tasks in each of %d occurrences: error %v, allowed is %v", c.count, c.occurrences, err, c.ok)
		}
	}
}
