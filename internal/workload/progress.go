package workload

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// State is the state of a job in its life cycle.
type State string

const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Over reports whether the state is final.
func (s State) Over() bool { return s == Completed || s == Failed || s == Cancelled }

// Progress is the stored record of a job's progress. It does not say which
// tasks run where: the owner reads that from the workers.
type Progress struct {
	Queue string `json:"queue"`
	// Team is the name of the job's team, empty for none.
	Team  string `json:"team,omitempty"`
	State State  `json:"state"`
	// Done lists the finished tasks as [occurrence, step, index].
	Done [][3]int `json:"done,omitempty"`
	// Failures lists the failed runs as [occurrence, step, index, run]. Each
	// run is listed once, even if its end is reported several times.
	Failures [][4]int `json:"failures,omitempty"`
	// Crashes lists the workers that ended under a run, each run at most once.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash is the unplanned end of a worker under a run of a task. The members of a
// gang share the crashes of the first one.
type Crash struct {
	Occurrence int         `json:"o"`
	Step       int         `json:"s"`
	Index      int         `json:"i"`
	Run        int         `json:"r"`
	Weight     CrashWeight `json:"w"`
}

// CrashWeight is how likely a crash was caused by the run.
type CrashWeight int

const (
	// CrashBystander means that the run had been listed for a while.
	CrashBystander CrashWeight = iota
	// CrashPresumed means that the worker fell silent right after the start, and
	// whether it has ended is unknown.
	CrashPresumed
	// CrashUncertain means that the worker ended after the start, but the start got
	// no answer, or the lease of the run may have expired before.
	CrashUncertain
	// CrashCertain means that the worker ended right after it had started the run.
	CrashCertain
)

// String returns the weight for the log.
func (w CrashWeight) String() string {
	names := [...]string{"bystander", "presumed", "uncertain", "certain"}
	if w < 0 || int(w) >= len(names) {
		return "unknown"
	}
	return names[w]
}

// maxPlainBytes is the size from which the lists are stored packed: a little
// below the platform's limit of 64 KB on the value of a row, because a release
// that does not know packed lists cannot read them.
const maxPlainBytes = 60 << 10

// packedProgress is Progress with packed lists.
type packedProgress struct {
	Queue    string `json:"queue"`
	Team     string `json:"team,omitempty"`
	State    State  `json:"state"`
	Done     []byte `json:"done"`
	Failures []byte `json:"failures,omitempty"`
	Crashes  []byte `json:"crashes,omitempty"`
}

// Encode returns the JSON encoding of the record for the table service.
func (p *Progress) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil || len(data) <= maxPlainBytes {
		return data, errors.Wrap(err, "encode progress")
	}
	packed := packedProgress{Queue: p.Queue, Team: p.Team, State: p.State}
	done, failures, crashes := make([][]int, len(p.Done)), make([][]int, len(p.Failures)), make([][]int, len(p.Crashes))
	for i := range p.Done {
		done[i] = p.Done[i][:]
	}
	for i := range p.Failures {
		failures[i] = p.Failures[i][:]
	}
	if packed.Done, err = packTasks(done, 3); err != nil {
		return nil, err
	}
	for i, c := range p.Crashes {
		crashes[i] = []int{c.Occurrence, c.Step, c.Index, c.Run, int(c.Weight)}
	}
	if packed.Failures, err = packTasks(failures, 4); err != nil {
		return nil, err
	}
	if len(crashes) > 0 {
		if packed.Crashes, err = packTasks(crashes, 5); err != nil {
			return nil, err
		}
	}
	data, err = json.Marshal(packed)
	return data, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes a record that Encode returned.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	plainErr := json.Unmarshal(data, p)
	if plainErr == nil {
		return p, nil
	}
	var packed packedProgress
	if json.Unmarshal(data, &packed) != nil || len(packed.Done) == 0 {
		return nil, errors.Wrap(plainErr, "decode progress")
	}
	return packed.progress()
}

func (w *packedProgress) progress() (*Progress, error) {
	p := &Progress{Queue: w.Queue, Team: w.Team, State: w.State}
	done, err := unpackTasks(w.Done, 3)
	if err != nil {
		return nil, err
	}
	for _, r := range done {
		p.Done = append(p.Done, [3]int(r))
	}
	if len(w.Failures) > 0 {
		failures, err := unpackTasks(w.Failures, 4)
		if err != nil {
			return nil, err
		}
		for _, r := range failures {
			p.Failures = append(p.Failures, [4]int(r))
		}
	}
	if len(w.Crashes) > 0 {
		crashes, err := unpackTasks(w.Crashes, 5)
		if err != nil {
			return nil, err
		}
		for _, r := range crashes {
			p.Crashes = append(p.Crashes, Crash{Occurrence: r[0], Step: r[1], Index: r[2], Run: r[3], Weight: CrashWeight(r[4])})
		}
	}
	return p, nil
}

// Encode returns the JSON encoding of the job for the table service.
func (j *Job) Encode() ([]byte, error) {
	data, err := json.Marshal(j)
	return data, errors.Wrap(err, "encode job")
}

// DecodeJob decodes a job that Encode returned.
func DecodeJob(data []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(data, j); err != nil {
		return nil, errors.Wrap(err, "decode job")
	}
	return j, nil
}
