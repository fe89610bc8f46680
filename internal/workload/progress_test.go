package workload

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// testRowBytes is the platform's limit on the value of a row.
const testRowBytes = 64 << 10

// shuffledTasks returns the tasks of a job in random order: tasks end in any.
func shuffledTasks(occurrences, steps, count int, r *rand.Rand) [][3]int {
	var list [][3]int
	for o := range occurrences {
		for s := range steps {
			for i := range count {
				list = append(list, [3]int{o, s, i})
			}
		}
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// TestProgressOfTheLargestJobFitsItsRow records every share of the tasks of a job
// of as many tasks as are allowed, each with two failed runs in one of ten.
func TestProgressOfTheLargestJobFitsItsRow(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	largest := 0
	defer func() { t.Logf("the largest row has %d bytes", largest) }()
	for _, shape := range [][3]int{{1, 1, maxTasks}, {1, MaxSteps, maxTasks / MaxSteps}, {maxTasks, 1, 1}, {100, 10, 20}} {
		all := shuffledTasks(shape[0], shape[1], shape[2], r)
		for _, share := range []int{1, 10, 50, 90, 100} {
			p := &Progress{Queue: "queue", State: Running, Done: all[:len(all)*share/100]}
			for i, d := range p.Done {
				if i%10 == 0 {
					p.Failures = append(p.Failures, [4]int{d[0], d[1], d[2], 8001 + i%3}, [4]int{d[0], d[1], d[2], 9001})
				}
			}
			data, err := p.Encode()
			if err != nil {
				t.Fatal(err)
			}
			largest = max(largest, len(data))
			if len(data) > testRowBytes {
				t.Errorf("job of %v, %d%% done: row of %d bytes, %d are allowed", shape, share, len(data), testRowBytes)
			}
			got, err := DecodeProgress(data)
			if err != nil {
				t.Fatal(err)
			}
			if want, got := sorted(p), sorted(got); !reflect.DeepEqual(want, got) {
				t.Errorf("job of %v, %d%% done: %d done and %d failures were read, want %d and %d",
					shape, share, len(got.Done), len(got.Failures), len(want.Done), len(want.Failures))
			}
		}
	}
}

// sorted returns progress with its lists in order.
func sorted(p *Progress) *Progress {
	out := *p
	out.Done = slices.SortedFunc(slices.Values(p.Done), func(a, b [3]int) int { return slices.Compare(a[:], b[:]) })
	out.Failures = slices.SortedFunc(slices.Values(p.Failures), func(a, b [4]int) int { return slices.Compare(a[:], b[:]) })
	return &out
}

// A release that knows no packed lists must not take the job for one without progress.
func TestShortProgressIsStoredAsBefore(t *testing.T) {
	p := &Progress{Queue: "q", State: Running, Done: [][3]int{{0, 1, 2}}, Failures: [][4]int{{0, 1, 2, 3}}}
	data, err := p.Encode()
	if want := `{"queue":"q","state":"running","done":[[0,1,2]],"failures":[[0,1,2,3]]}`; err != nil || string(data) != want {
		t.Errorf("row %s, %v; want %s", data, err, want)
	}
}

func TestUnreadablePackedProgressIsAnError(t *testing.T) {
	bomb, err := packTasks([][]int{make([]int, maxUnpackedBytes+1)}, maxUnpackedBytes+1)
	if err != nil {
		t.Fatal(err)
	}
	if list, err := unpackTasks(bomb, 3); err == nil {
		t.Errorf("%d records of more than %d bytes were read", len(list), maxUnpackedBytes)
	}
	for _, row := range []string{
		`{"queue":"q","state":"running","done":"!"}`, `{"queue":"q","state":"running","done":"AAAA"}`, `{"queue":"q","state":"running","done":5}`,
		`{"queue":"q","state":"running","done":{}}`, `{"queue":"q","state":"running","done":"","failures":"AA=="}`,
	} {
		if p, err := DecodeProgress([]byte(row)); err == nil {
			t.Errorf("row %s was read as %s", row, fmt.Sprint(p))
		}
	}
}

func TestProgressOfALargeJobKeepsItsCrashes(t *testing.T) {
	p := &Progress{Queue: "q", State: Running, Crashes: []Crash{{Step: 1, Index: 7, Run: 1, Weight: CrashPresumed}, {Step: 1, Index: 7, Run: 2001, Weight: CrashCertain}}}
	for i := range 20_000 {
		p.Done = append(p.Done, [3]int{0, 0, i})
	}
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeProgress(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(p, got); diff != "" {
		t.Error(diff)
	}
}
