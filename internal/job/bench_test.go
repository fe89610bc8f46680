package job

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// BenchmarkStep measures one step including its placement pass, over 3,400
// workers and 10,000 pending jobs, of which the pool can place only some.
func BenchmarkStep(b *testing.B) {
	const workers, jobs = 3400, 10000
	view := &View{Workers: map[string]Worker{}}
	for i := range workers {
		name := fmt.Sprintf("kano-%04d", i)
		view.Workers[name] = Worker{Phase: host.Serving, Worker: placement.Worker{
			Name: name, Pool: testPool, Serving: true, Capacity: placement.Resources{Processors: 8, MemoryMB: 64},
		}}
	}
	var rows []Stored
	for i := range jobs {
		rows = append(rows, Stored{Version: int64(i + 1), Row: Row{State: adminapi.JobPending, JobSpec: adminapi.JobSpec{
			ID: fmt.Sprintf("job-%05d", i), Pool: testPool, Team: "sales", Command: "fold", Processors: 1 + i%8, MemoryMB: 8,
		}}})
	}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		p := NewPool(testPool, 1, rows, now, zap.NewNop())
		b.StartTimer()
		p.Step(view, now)
	}
}
