package estate

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func TestKeyOfSeveralTeamsBelongsToOneWhateverTheirOrder(t *testing.T) {
	shared, own := DigestOf("shared"), DigestOf("own")
	a, b := &Team{Name: "a", Keys: []KeyDigest{shared}}, &Team{Name: "b", Keys: []KeyDigest{own, shared}}
	for _, teams := range [][]*Team{{a, b}, {b, a}} {
		c := NewCatalog(1, nil, nil, Limits{})
		c.SetTeams(teams)
		if c.TeamOf(shared).Name != "a" || c.TeamOf(own).Name != "b" || c.TeamOf(DigestOf("other")) != nil || c.KeyCount() != 2 {
			t.Errorf("the shared key belongs to %v, the other to %v", c.TeamOf(shared), c.TeamOf(own))
		}
		if len(c.Problems) != 1 || !strings.Contains(c.Problems[0], shared.Fingerprint()) || len(c.Teams["b"].Keys) != 1 {
			t.Errorf("problems %q, keys of b %v; want the shared key reported and left to a", c.Problems, c.Teams["b"].Keys)
		}
	}
}

func TestTeamListedTwiceHasTheKeysOfBothEntries(t *testing.T) {
	c := NewCatalog(1, nil, nil, Limits{})
	c.SetTeams([]*Team{
		{Name: "a", Weight: 2, Keys: []KeyDigest{DigestOf("1")}}, {Name: "a", Weight: 3, Keys: []KeyDigest{DigestOf("1"), DigestOf("2")}},
		{Keys: []KeyDigest{DigestOf("3")}},
	})
	if team := c.TeamOf(DigestOf("2")); team == nil || team.Weight != 2 || len(team.Keys) != 2 || c.TeamOf(DigestOf("3")) != nil || len(c.Problems) != 2 {
		t.Errorf("team %+v, problems %q", team, c.Problems)
	}
}

func TestDigestIsNeverShown(t *testing.T) {
	d := DigestOf("abc") // ba7816bf 8f01cfea ...
	encoded, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	for _, shown := range []string{d.Fingerprint(), d.String(), fmt.Sprintf("%v %s", d, d), string(encoded)} {
		if !strings.Contains(shown, "ba7816bf") || strings.Contains(shown, "8f01cfea") {
			t.Errorf("%s, want the fingerprint ba7816bf alone", shown)
		}
	}
}
