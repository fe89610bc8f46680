// Package membership keeps track of live control processes and registered
// entries through rows in the table service.
//
// A control process writes its member row once per period, as a heartbeat. It
// considers another process dead if the row of that process stays unchanged
// for a lease, on its own monotonic clock. A wrong assessment is harmless,
// since every write of a shard's owner is conditional on the shard's row
// (package lease).
//
// An entry registers once when it starts. Its row stays until it deregisters
// or until a move proceeds without it (package permit).
package membership

import (
	"encoding/json"
	"fmt"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/operr"
	"github.com/egretpitch/egretpitch/internal/platform"
)

const (
	// MemberPrefix is the key prefix of the rows of control processes.
	MemberPrefix = "member/"
	// EntryPrefix is the key prefix of the rows of entries.
	EntryPrefix = "entry/"
)

// MemberRow is the stored row of a control process.
type MemberRow struct {
	// Name is unique within the estate.
	Name string `json:"name"`
	// Address is the IP address and port of its drpc server.
	Address string `json:"address"`
	// AdminAddress is the IP address and port of its administration API.
	AdminAddress string `json:"admin_address"`
	// Incarnation differs for every start of the process. Only equality is
	// meaningful.
	Incarnation uint64 `json:"incarnation"`
	// Counter rises with every write of the row, so that no two writes are equal.
	Counter uint64 `json:"counter"`
	// SettingsVersion is the version of the settings in force in the process.
	SettingsVersion uint64 `json:"settings_version"`
	// Leaving is set while the process is stopping and acquires no shards.
	Leaving bool `json:"leaving,omitempty"`
}

// MemberKey returns the table key of a control process's row.
func MemberKey(name string) string { return MemberPrefix + name }

// EntryRow is the registration of one incarnation of an entry.
type EntryRow struct {
	// Name is unique among the running entries.
	Name string `json:"name"`
	// Address is the IP address and port of its drpc server. The entry binds it
	// before it registers and closes it after its last routing decision.
	Address string `json:"address"`
	// Incarnation differs for every start of the entry.
	Incarnation uint64 `json:"incarnation"`
	// Renewal rises whenever the entry must write its row again, which happens
	// after a pause.
	Renewal uint64 `json:"renewal"`
	// Host is the name of the entry's host in the platform's host list.
	Host string `json:"host"`
	// Boot identifies the running kernel of the host, see BootID. It is empty if
	// unknown.
	Boot string `json:"boot,omitempty"`
	datacentre.Place
}

// EntryKey returns the table key of a registration.
func EntryKey(name string, incarnation uint64) string {
	return fmt.Sprintf("%s%s/%016x", EntryPrefix, name, incarnation)
}

// Key returns the table key of the registration.
func (e EntryRow) Key() string { return EntryKey(e.Name, e.Incarnation) }

// Member is a member row as read from the table.
type Member struct {
	MemberRow
	// Version is the version of the row in the table.
	Version int64
	// Live is set unless the observer considers the process dead.
	Live bool
}

// Entry is a registration as read from the table.
type Entry struct {
	EntryRow
	// Version is the version of the row in the table.
	Version int64
}

// encode returns the JSON of a row.
func encode(row any) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err) // rows hold only strings and numbers
	}
	return data
}

// decodeMembers decodes the member rows of a scan.
func decodeMembers(rows []platform.Row) ([]Member, error) {
	members := make([]Member, 0, len(rows))
	for _, r := range rows {
		m := Member{Version: r.Version}
		if err := json.Unmarshal(r.Value, &m.MemberRow); err != nil {
			return nil, operr.Wrap(err, "membership: decode", r.Key)
		}
		members = append(members, m)
	}
	return members, nil
}

// DecodeEntry decodes the table row of a registration.
func DecodeEntry(row platform.Row) (Entry, error) {
	e := Entry{Version: row.Version}
	if err := json.Unmarshal(row.Value, &e.EntryRow); err != nil {
		return Entry{}, operr.Wrap(err, "membership: decode", row.Key)
	}
	return e, nil
}
