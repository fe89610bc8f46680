package control

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/report"
	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/samples"
	"github.com/egretpitch/egretpitch/internal/settings"
)

const (
	// reportSpan is the period that a report covers.
	reportSpan = time.Hour
	// trackInterval is the minimum time between two checks of a rollout.
	trackInterval = 250 * time.Millisecond
	// trackTimeout is how long a rollout is tracked.
	trackTimeout = 2 * time.Minute
)

// getReport returns the report of the last reportSpan.
func (m *Manager) getReport(c echo.Context) error {
	current := m.adopter.Current()
	if current == nil {
		return problem(c, http.StatusServiceUnavailable, errNoSettings)
	}
	to := m.now().UTC().Truncate(samples.Step)
	from := to.Add(-reportSpan)
	chunk, err := m.samples.Read(c.Request().Context(), from, to)
	if err != nil {
		return problem(c, http.StatusServiceUnavailable, err)
	}
	r := report.Build(report.Input{
		Estate: current.Value.Estate, From: from, To: to, Step: samples.Step,
		Terms: reportTerms(current.Value), Samples: chunk.Pools, Rollouts: chunk.Rollouts,
	})
	media, write := reportWriter(c.Request().Header.Get(echo.HeaderAccept))
	var body bytes.Buffer
	if err := write(&body, r); err != nil {
		return problem(c, http.StatusInternalServerError, err)
	}
	return c.Blob(http.StatusOK, media, body.Bytes())
}

// reportWriter returns the media type of the report and its writer. The default
// is plain text.
func reportWriter(accept string) (string, func(io.Writer, report.Report) error) {
	switch accept {
	case adminapi.MediaJSON:
		return accept, report.WriteJSON
	case adminapi.MediaHTML:
		return accept, report.WriteHTML
	}
	return adminapi.MediaText, report.WriteText
}

// reportTerms returns the settings by which the pools' figures are valued,
// sorted by pool.
func reportTerms(effective *settings.Effective) []report.Terms {
	var terms []report.Terms
	for name, values := range effective.Pools {
		t := report.Terms{
			Pool: name, BufferWeight: values.BufferWeight, MoveWeight: values.MoveWeight,
			Availability: map[string]float64{},
		}
		for service, c := range effective.Services {
			if c.Pool == name {
				t.Availability[service] = c.Availability
			}
		}
		terms = append(terms, t)
	}
	sort.Slice(terms, func(i, j int) bool { return terms[i].Pool < terms[j].Pool })
	return terms
}

// trackRollout waits until every live instance has acknowledged a version, or
// trackTimeout has passed, and records the rollout with the time of its
// completion.
func (m *Manager) trackRollout(version uint64, accepted time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), trackTimeout)
	defer cancel()
	tracker := rollout.NewTracker()
	tracker.Accepted(version, accepted)
	record := report.Rollout{Version: int64(version), Accepted: accepted}
	for ctx.Err() == nil {
		if m.observeRollout(ctx, tracker, version) {
			record.Complete = m.now()
			event.SettingsInForce.Log(m.log, zap.Uint64("version", version),
				zap.Duration("took", record.Complete.Sub(accepted)))
			break
		}
		select {
		case <-time.After(trackPeriod(len(m.members.Snapshot().Members))):
		case <-ctx.Done():
		}
	}
	putCtx, cancelPut := context.WithTimeout(context.Background(), commitTimeout)
	defer cancelPut()
	if err := m.samples.PutRollout(putCtx, record); err != nil {
		m.log.Debug("failed to record a rollout", zap.Error(err))
	}
}

// observeRollout checks the versions of all instances once and reports whether
// all of them have the version.
func (m *Manager) observeRollout(ctx context.Context, tracker *rollout.Tracker, version uint64) bool {
	instances, err := m.allInstances(ctx)
	if err != nil {
		return false
	}
	for _, i := range instances.Instances {
		tracker.Observe(m.now(), i.Kind+"/"+i.Name, i.SettingsVersion)
	}
	status, known := tracker.Status(m.now(), version)
	return known && status.Done
}
