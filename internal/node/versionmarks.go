package node

import "time"

// maxVersionMarks is the number of version marks that are kept, one a heartbeat.
const maxVersionMarks = 32

// versionMark says that the version of the table service was not above version
// at the time at.
type versionMark struct {
	version int64
	at      time.Duration
}

// versionMarks tell how old a version of the table service is, oldest first. A
// feed that always has changes shows a version, but not whether it is the newest
// one.
type versionMarks []versionMark

// add adds a mark from the answer to a call that was sent at the given time.
func (m versionMarks) add(version int64, sent time.Duration) versionMarks {
	if len(m) == maxVersionMarks {
		m = m[1:]
	}
	return append(m, versionMark{version, sent})
}

// reach returns the latest time up to which everything that was stored is part of
// a version, and the marks of later versions. The time is 0 if no mark tells.
func (m versionMarks) reach(version int64) (asOf time.Duration, later versionMarks) {
	for _, mark := range m {
		if mark.version <= version {
			asOf = max(asOf, mark.at)
		} else {
			later = append(later, mark)
		}
	}
	return asOf, later
}

// knownUpTo returns the latest time up to which all that was stored in a table is
// known from a read of it, which was sent at the given time and reached a version.
// more is set if there may be further rows that were stored before. The marks up to
// the version are dropped.
func (o *owner) knownUpTo(marks *versionMarks, version int64, sent time.Duration, more bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	asOf, later := marks.reach(version)
	*marks = later
	if !more {
		asOf = max(asOf, sent)
	}
	return asOf
}
