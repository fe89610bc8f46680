package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/adminapi"
	"github.com/egretpitch/egretpitch/internal/estate"
)

func TestTeamsAreListedWithFingerprintsAlone(t *testing.T) {
	n, _, _ := teamNode(t)
	e := echo.New()
	NewTeamsAPI(n).Register(e)
	code, body := request(e, http.MethodGet, adminapi.PathTeams, "")
	digest := estate.DigestOf("ka")
	want := `{"version":2,"age_ms":-1,"keys_required":true,"public_queues":["open"],"teams":[{"name":"a","weight":0,"keys":["` + digest.Fingerprint() + `"]},{"name":"b"`
	if code != http.StatusOK || !strings.HasPrefix(body, want) {
		t.Errorf("answer %d %s, want %s", code, body, want)
	}
}
