package settings

import (
	"fmt"
	"regexp"
	"strconv"

	"github.com/egretpitch/egretpitch/internal/naming"
)

// maxRangeHosts limits the number of hosts in one range.
const maxRangeHosts = 10_000

var rangePattern = regexp.MustCompile(`^([a-z0-9-]*)\[(\d{1,9})-(\d{1,9})\]([a-z0-9-]*)$`)

// ExpandHosts returns the hosts that a pattern names: a single name, or a range
// such as "kano-[01-09]". Numbers are padded to the width of the start of the
// range.
func ExpandHosts(pattern string) ([]string, error) {
	if naming.Valid(pattern) {
		return []string{pattern}, nil
	}
	m := rangePattern.FindStringSubmatch(pattern)
	if m == nil {
		return nil, fmt.Errorf("%q is neither a host name (%s) nor a range such as kano-[01-09]", pattern, naming.Rule)
	}
	first, _ := strconv.Atoi(m[2])
	last, _ := strconv.Atoi(m[3])
	if last < first || last-first >= maxRangeHosts {
		return nil, fmt.Errorf("range %q must ascend and name at most %d hosts", pattern, maxRangeHosts)
	}
	hosts := make([]string, 0, last-first+1)
	for i := first; i <= last; i++ {
		name := fmt.Sprintf("%s%0*d%s", m[1], len(m[2]), i, m[4])
		if !naming.Valid(name) {
			return nil, fmt.Errorf("range %q gives the host name %q; allowed: %s", pattern, name, naming.Rule)
		}
		hosts = append(hosts, name)
	}
	return hosts, nil
}
