package retry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// DeadlineHeader carries the time left for a request to the upstream, in whole
// milliseconds.
const DeadlineHeader = "Egretpitch-Deadline-Ms"

// maxDeadline is the largest value that ParseDeadline accepts.
const maxDeadline = 24 * time.Hour

// SetDeadline sets the deadline header to the remaining time, rounded down to
// milliseconds, or to 0 if it is negative.
func SetDeadline(h http.Header, remaining time.Duration) {
	h.Set(DeadlineHeader, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10))
}

// ParseDeadline returns the remaining time given by the value of a deadline
// header. It returns an error unless the value is a whole number of
// milliseconds from 0 to a day.
func ParseDeadline(value string) (time.Duration, error) {
	if value == "" || value[0] < '0' || value[0] > '9' {
		return 0, errors.Errorf("%s: %q is not a number of milliseconds", DeadlineHeader, value)
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%s: %q is not a number of milliseconds", DeadlineHeader, value)
	}
	if ms > maxDeadline.Milliseconds() {
		return 0, errors.Errorf("%s: %d ms is above %d", DeadlineHeader, ms, maxDeadline.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}
