package control

import (
	"testing"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/rollout"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestTreeIsPushedOnlyWhereItIsAsked guards against settings trees sent over
// every exchange of an entry. Only a reply to the exchange with the entry's
// home carries the tree, though all replies name the version in force, and only
// the home process reports the entry's settings version.
func TestTreeIsPushedOnlyWhereItIsAsked(t *testing.T) {
	const tree = `
estate: small
datacentres: [{name: lagos-1, region: lagos, racks: {r1: [admin-01, admin-02]}}]
regions: [{name: lagos, pools: [{name: admin, spare: true, hosts: [admin-01, admin-02]}]}]
`
	p := standin.NewPlatform()
	m := New(Options{Name: "control-1", Platform: p.Interfaces(), Log: zap.NewNop()})
	go m.exec.Run(t.Context())
	if _, err := rollout.NewStore(p.Table, p.Objects, nil).Accept(t.Context(), []byte(tree), 0, "first"); err != nil {
		t.Fatal(err)
	}
	if err := m.adopter.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	m.exec.Do(t.Context(), func() {
		m.handleReport(&controlpb.ExchangeRequest{Entry: "here", SettingsVersion: 1})
		m.handleReport(&controlpb.ExchangeRequest{Entry: "elsewhere", SettingsVersion: 1, SettingsElsewhere: true})
	})
	reply, err := m.Demand(t.Context(), &controlpb.DemandRequest{})
	if err != nil || len(reply.Instances) != 1 || reply.Instances[0].Name != "here" {
		t.Errorf("reported instances %v: %v; want only the entry whose home it is", reply.GetInstances(), err)
	}
	for _, elsewhere := range []bool{false, true} {
		var reply *controlpb.ExchangeReply
		m.exec.Do(t.Context(), func() {
			reply, _ = m.reply(&controlpb.ExchangeRequest{Entry: "entry-1", SettingsElsewhere: elsewhere})
		})
		if pushed := len(reply.Settings) > 0; pushed == elsewhere || reply.SettingsVersion != 1 {
			t.Errorf("elsewhere %v: pushed %v at version %d", elsewhere, pushed, reply.SettingsVersion)
		}
	}
}
