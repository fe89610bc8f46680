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

// FuzzStoredJob checks that a stored job and its progress can be encoded again.
func FuzzStoredJob(f *testing.F) {
	f.Add([]byte(`{"ID":"a","Queue":"q","Pool":"p","Steps":[{"Count":1,"Size":{"Processors":1e308}}]}`), []byte(`{"queue":"q","state":"queued","done":[[0,0,0]]}`))
	f.Add([]byte(`null`), []byte(`null`))
	large := &Progress{Queue: "q", State: Running}
	for i := range maxTasks {
		large.Done = append(large.Done, [3]int{0, 0, i})
	}
	packed, err := large.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{}`), packed)
	f.Fuzz(func(t *testing.T, job, progress []byte) {
		if j, err := DecodeJob(job); err == nil {
			if _, err := j.Encode(); err != nil {
				t.Error(err)
			}
		}
		if p, err := DecodeProgress(progress); err == nil {
			if _, err := p.Encode(); err != nil {
				t.Error(err)
			}
		}
	})
}
