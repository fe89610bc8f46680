package scheduler

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// maxCallBytes is the platform's limit on a transaction, which holds the values of
// rows in base64.
const maxCallBytes = 1_000_000

// Workers crash under all tasks of as many jobs as a transaction holds.
func TestRecordOfCrashesFitsOneTransaction(t *testing.T) {
	for _, tasks := range []int{100, 300, 600, 1200} {
		e := fullEngine(1, 1, 0)
		for i := range maxCommitJobs {
			job := jobOf(i, tasks, 1)
			job.ID, job.Queue, job.Pool = fmt.Sprintf("%016x", i), "p0", "p0"
			progress := &workload.Progress{Queue: "p0", State: workload.Running}
			for index := range tasks {
				progress.Crashes = append(progress.Crashes, workload.Crash{Index: index, Run: 1001})
			}
			e.AddJob(job, progress, 1, 0, false, 0)
			e.markDirty(e.jobs[job.ID], true, time.Second)
		}
		for _, order := range e.Decide(time.Second, OwnershipValid) {
			c, ok := order.(*Commit)
			if !ok {
				continue
			}
			size := 0
			for i := range c.Records {
				value, err := c.Records[i].Progress.Encode()
				if err != nil {
					t.Fatal(err)
				}
				size += base64.StdEncoding.EncodedLen(len(value))
			}
			if size > maxCallBytes {
				t.Errorf("a transaction with %d jobs of %d tasks has %d bytes, %d are allowed", len(c.Records), tasks, size, maxCallBytes)
			}
		}
	}
}
