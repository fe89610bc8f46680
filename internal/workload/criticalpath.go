package workload

import "time"

// CriticalPath returns the estimated time of the longest chain of dependent steps.
func (j *Job) CriticalPath() time.Duration {
	var longest time.Duration
	paths := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			paths[i] = max(paths[i], paths[a])
		}
		paths[i] += j.Steps[i].Estimate
		longest = max(longest, paths[i])
	}
	return longest
}
