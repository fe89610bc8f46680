package scheduler

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/platform"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// TestNoTaskRunsTwiceInAnyHistory plays random histories of owners that freeze,
// lose the table service and are replaced, workers that are cut off, crash and
// are reborn, orders that are lost or carried out late, and commits that fail.
// No task may run twice at once, start after its end was acknowledged or start
// on an unguarded worker without room, and once all is calm every job comes to
// its end.
func TestNoTaskRunsTwiceInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		ids := []string{"w1", "w2", "w3", "w4"}
		unguarded := rapid.Bool().Draw(t, "workers start whatever they are told to")
		stopTakes := time.Duration(rapid.IntRange(0, 200).Draw(t, "stop takes ms")) * time.Millisecond
		for _, id := range ids {
			f := w.addWorker(id, "p", 6)
			f.unguarded = unguarded
			f.stopTakes = stopTakes
			f.duration = func(task workload.TaskID) (time.Duration, platform.RunEnd) {
				ms := 100 + int(task.Job[15]-'0')*130 + task.Index*70
				return time.Duration(ms) * time.Millisecond, platform.EndDone
			}
		}
		trouble := true
		loss := rapid.IntRange(0, 30).Draw(t, "loss percent")
		draws := rapid.SliceOfN(rapid.IntRange(0, 99), 400, 400).Draw(t, "luck")
		next := 0
		luck := func() int { next++; return draws[next%len(draws)] }
		w.lose = func(o Order) fate {
			if !trouble || luck() >= loss {
				return fate{}
			}
			late := luck()
			return fate{lost: true, applied: late%2 == 0, delay: time.Duration(late) * 30 * time.Millisecond}
		}
		owners := []*master{w.own()}
		current := owners[0]
		jobs := 0
		steps := rapid.IntRange(5, 40).Draw(t, "steps")
		for range steps {
			f := w.workers[rapid.SampledFrom(ids).Draw(t, "worker")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				jobs++
				spec := jobOf(jobs%10, 1+jobs%3, 2)
				spec.ID = spec.ID[:10] + string(rune('a'+jobs/100%26)) + string(rune('a'+jobs/10%10)) + spec.ID[12:]
				w.submit(current, spec)
			case 3:
				f.reached = !f.reached
			case 4:
				f.crash()
			case 5:
				if !f.up {
					f.restart(w.now)
				}
			case 6:
				current.expired = !current.expired
			case 7:
				current.frozen = !current.frozen
			case 8:
				// A successor takes over once the former owner's proof is over.
				current.expired = true
				w.run(2*time.Second, owners...)
				current = w.ownAfter(0)
				owners = append(owners, current)
			case 9:
				w.storeDown = !w.storeDown
			}
			current.discover()
			w.run(time.Duration(rapid.IntRange(5, 900).Draw(t, "pause"))*time.Millisecond, owners...)
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
		trouble = false
		w.storeDown = false
		for _, f := range w.workers {
			f.reached = true
			if !f.up {
				f.restart(w.now)
			}
		}
		for _, o := range owners {
			o.frozen = false
		}
		w.run(2*time.Second, owners...)
		last := w.ownAfter(0)
		owners = append(owners, last)
		for range 20 {
			last.discover()
			w.run(time.Second, owners...)
		}
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		for id, j := range w.records {
			if !j.progress.State.Over() {
				t.Errorf("job %s is still %s", id, j.progress.State)
			}
		}
	})
}
