package scheduler

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// A wait of many passes must be logged once.
func TestWaitForAQuotaIsReportedOnce(t *testing.T) {
	sim := newQuotaSimulation(t, "w1", "w2")
	core, logs := observer.New(zapcore.InfoLevel)
	sim.log = zap.New(core)
	owner := sim.newOwner()
	sim.submit(owner, jobOfTeam("a", 1, 20, 2))
	sim.submit(owner, jobOfTeam("b", 2, 1, 2))
	sim.run(1500*time.Millisecond, owner)
	s := owner.TeamStats()
	if len(s) != 2 || s[0].Team != "a" || s[0].Running != 2 || s[0].Waiting != 18 || s[0].Held.Processors != 4 || s[0].Quota.Processors != 4 || s[0].QuotaWaitMS == 0 || s[1].QuotaWaitMS != 0 {
		t.Errorf("the teams are reported as %+v", s)
	}
	if s[0].Share < 0.05 || s[0].Share > 4.0/12 {
		t.Errorf("the share of 4 of 12 cores is reported as %v", s[0].Share)
	}
	count := func(e event.Event) int { return logs.FilterMessage(e.Message).Len() }
	sim.run(10*time.Second, owner)
	if n, ended := count(event.TeamWaits), count(event.TeamWaitEnded); n != 1 || ended != 0 {
		t.Errorf("%d waits and %d ends of waits are logged during one wait", n, ended)
	}
	sim.run(15*time.Second, owner)
	if n, ended := count(event.TeamWaits), count(event.TeamWaitEnded); n != 1 || ended != 1 {
		t.Errorf("%d waits and %d ends of waits are logged after one wait", n, ended)
	}
}

func TestNumberOfReportedTeamsIsBounded(t *testing.T) {
	sim := newSimulation(t)
	sim.setTeams(map[string]placement.Resources{"x": cores(1)})
	owner := sim.newOwner()
	for i := range 50 {
		sim.submit(owner, jobOfTeam(fmt.Sprintf("t%02d", i), i, 1+i, 1))
	}
	sim.run(100*time.Millisecond, owner)
	s := owner.TeamStats()
	if len(s) != maxTeamSeries+1 || s[0].Waiting != 50 || s[maxTeamSeries].Team != OtherTeams {
		t.Fatalf("%d teams are reported, the first is %+v", len(s), s[0])
	}
	sum := 0
	for _, team := range s {
		sum += team.Waiting
	}
	if sum != 50*51/2 {
		t.Errorf("%d waiting tasks are reported, want %d", sum, 50*51/2)
	}
}
