package intake

import (
	"bufio"
	"net/http"
	"testing"
)

// Guards against an answer that is lost, or waits for ever, because others hold the
// memory.
func TestAnswerIsHeldBeyondTheBudgetAfterAWait(t *testing.T) {
	release := make(chan struct{})
	l, address, _ := serveLimited(t, Bounds{Connections: 10, Bytes: 100 << 10}, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = ReadBody(r, 64<<10)
		} else {
			HoldAnswer(r, 80<<10)
		}
		<-release
	})
	_, serving := send(t, address, post(20_000, 20_000))
	l.waitFor(t, "the body is held", func() bool { return l.budget.bytes == decodedFactor*20_000 })
	_, answer := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	l.waitFor(t, "the answer is held", func() bool { return l.budget.bytes == decodedFactor*20_000+80<<10 })
	l.mu.Lock()
	waited := l.now
	l.mu.Unlock()
	if waited < answerWait {
		t.Errorf("the answer was held after %v", waited)
	}
	close(release)
	for _, r := range []*bufio.Reader{serving, answer} {
		if got, _ := status(r); got != http.StatusOK {
			t.Errorf("answered %d", got)
		}
	}
	l.waitFor(t, "nothing is held", func() bool { return l.budget.bytes == 0 })
}
