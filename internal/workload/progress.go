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

// Encode returns the JSON encoding of the record for the table service.
func (p *Progress) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	return data, errors.Wrap(err, "encode progress")
}

// DecodeProgress decodes a record that Encode returned.
func DecodeProgress(data []byte) (*Progress, error) {
	p := &Progress{}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode progress")
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
