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
	State State  `json:"state"`
	// Done lists the finished tasks as [occurrence, step, index].
	Done [][3]int `json:"done,omitempty"`
	// Failures lists the failed runs as [occurrence, step, index, run]. Each
	// run is listed once, even if its end is reported several times.
	Failures [][4]int `json:"failures,omitempty"`
}

// maxPlainBytes is the size from which the lists are stored packed: a little
// below the platform's limit of 64 KB on the value of a row, because a release
// that does not know packed lists cannot read them.
const maxPlainBytes = 60 << 10

// packedProgress is Progress with packed lists.
type packedProgress struct {
	Queue    string `json:"queue"`
	State    State  `json:"state"`
	Done     []byte `json:"done"`
	Failures []byte `json:"failures,omitempty"`
}

// Encode returns the JSON encoding of the record for the table service.
func (p *Progress) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil || len(data) <= maxPlainBytes {
		return data, errors.Wrap(err, "encode progress")
	}
	packed := packedProgress{Queue: p.Queue, State: p.State}
	done, failures := make([][]int, len(p.Done)), make([][]int, len(p.Failures))
	for i := range p.Done {
		done[i] = p.Done[i][:]
	}
	for i := range p.Failures {
		failures[i] = p.Failures[i][:]
	}
	if packed.Done, err = packTasks(done, 3); err != nil {
		return nil, err
	}
	if packed.Failures, err = packTasks(failures, 4); err != nil {
		return nil, err
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
	p := &Progress{Queue: w.Queue, State: w.State}
	done, err := unpackTasks(w.Done, 3)
	if err != nil {
		return nil, err
	}
	for _, r := range done {
		p.Done = append(p.Done, [3]int(r))
	}
	if len(w.Failures) == 0 {
		return p, nil
	}
	failures, err := unpackTasks(w.Failures, 4)
	for _, r := range failures {
		p.Failures = append(p.Failures, [4]int(r))
	}
	return p, err
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
