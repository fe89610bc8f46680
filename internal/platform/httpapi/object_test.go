package httpapi_test

import (
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"

	"github.com/egretpitch/egretpitch/internal/platform/httpapi"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// TestObjectKeepsItsName checks that an object whose name needs escaping in a URL
// has the same name in the store and in the list.
func TestObjectKeepsItsName(t *testing.T) {
	for _, name := range []string{"settings/a b%2Fc", "settings-50%"} {
		t.Run(name, func(t *testing.T) { checkObjectName(t, name) })
	}
}

func checkObjectName(t *testing.T, name string) {
	platform := standin.NewPlatform()
	router := echo.New()
	httpapi.Register(router, platform.Interfaces())
	server := httptest.NewServer(router)
	defer server.Close()
	objects := httpapi.New(httpapi.Services{Objects: server.URL}).Objects
	if err := objects.Put(t.Context(), name, []byte("tree")); err != nil {
		t.Fatal(err)
	}
	names, err := objects.List(t.Context(), "settings")
	if diff := cmp.Diff([]string{name}, names); diff != "" || err != nil {
		t.Error(diff, err)
	}
	stored, err := platform.Objects.Get(t.Context(), name)
	if string(stored) != "tree" || err != nil {
		t.Errorf("store holds %q: %v", stored, err)
	}
}
