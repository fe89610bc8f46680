package workload

import (
	"testing"

	"github.com/egretpitch/egretpitch/internal/estate"
)

// Rows of jobs without a team must not change with the release.
func TestRowsWithoutTeamAreAsBeforeTeams(t *testing.T) {
	job := Job{ID: "00000000000000aa", Queue: "q", Pool: "p", Terms: &estate.Queue{Name: "q", Pool: "p"}, Spec: "s", Steps: []Step{{Count: 1}}, AcceptedMS: 5}
	const wantJob = `{"ID":"00000000000000aa","Queue":"q","Pool":"p","Terms":{"Name":"q","Host":"","PathPrefix":"","Pool":"p","Priority":0,"MaxAttempts":0,` +
		`"Stretch":0,"LatencyTarget":0,"Timeout":0,"Recommendation":null},"Spec":"s","Steps":[{"Count":1,"Size":{"Processors":0,"MemoryMB":0,"Accelerators":0},` +
		`"Estimate":0,"After":null,"Checkpoints":false,"Gang":false,"RackLocal":false,"Requires":"","Rack":"","MaxPerWorker":0,"Speculative":false,` +
		`"LongRunning":false,"Image":"","TailTarget":0,"Filler":false,"MaxUnavailable":0}],"Schedule":null,"AcceptedMS":5}`
	if got, err := job.Encode(); err != nil || string(got) != wantJob {
		t.Errorf("job row %s, %v\nwant %s", got, err, wantJob)
	}
	progress := Progress{Queue: "q", State: Queued}
	const wantProgress = `{"queue":"q","state":"queued"}`
	if got, err := progress.Encode(); err != nil || string(got) != wantProgress {
		t.Errorf("progress row %s, %v, want %s", got, err, wantProgress)
	}
}

func TestRowsKeepTheTeam(t *testing.T) {
	for _, done := range []int{0, 20000} { // the lists are stored packed from 60 KB on
		p := Progress{Queue: "q", Team: "a", State: Running, Done: make([][3]int, done)}
		for i := range p.Done {
			p.Done[i] = [3]int{0, 0, i}
		}
		data, err := p.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeProgress(data); err != nil || got.Team != "a" || len(got.Done) != done {
			t.Errorf("%d finished tasks: %v, want team a", done, err)
		}
	}
}
