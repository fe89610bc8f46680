package entry

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Errors of checkTarget.
var (
	errTargetForm    = errors.New("target is not a path")
	errTargetSegment = errors.New("target has a dot segment, a backslash or an empty or escaped first segment")
)

// checkTarget returns an error for a target that an upstream could resolve to
// another service than the entry does.
func checkTarget(r *http.Request) error {
	if r.Method == http.MethodConnect || r.URL.Host != "" || !strings.HasPrefix(r.URL.Path, "/") {
		return errTargetForm
	}
	path := r.URL.Path
	if strings.HasPrefix(path, "//") || strings.Contains(path, `\`) {
		return errTargetSegment
	}
	first, _, _ := strings.Cut(r.URL.EscapedPath()[1:], "/")
	if strings.Contains(strings.ToLower(first), "%2f") {
		return errTargetSegment
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return errTargetSegment
		}
	}
	return nil
}
