package link

import (
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// signalOfAnswer returns the shutdown signal in an answer's header.
func signalOfAnswer(resp *http.Response, now time.Time) ShutdownSignal {
	if resp.StatusCode == http.StatusServiceUnavailable {
		if value := resp.Header.Get("Retry-After"); value != "" {
			return ShutdownSignal{Kind: SignalUnavailable, At: now, RetryAfter: retryAfter(value, now)}
		}
	}
	if resp.Close {
		return ShutdownSignal{Kind: SignalClose, At: now}
	}
	return ShutdownSignal{At: now}
}

// signalOfDial returns the shutdown signal in the error of a dial.
func signalOfDial(err error, now time.Time) ShutdownSignal {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ShutdownSignal{Kind: SignalRefused, At: now}
	}
	return ShutdownSignal{At: now}
}

// retryAfter parses a Retry-After value, which is a number of seconds or a
// date, and returns the delay from now. It returns 0 for an invalid value.
func retryAfter(value string, now time.Time) time.Duration {
	if seconds, err := strconv.ParseUint(value, 10, 31); err == nil {
		return time.Duration(seconds) * time.Second
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	return max(at.Sub(now), 0)
}
