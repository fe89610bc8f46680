package control

import (
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
	"github.com/egretpitch/egretpitch/internal/rollout"
)

// packedTree is the settings tree in force, packed once for all exchanges.
type packedTree struct {
	version uint64
	data    []byte
}

// packedTree returns the packed settings tree in force.
func (m *Manager) packedTree() []byte {
	current := m.adopter.Current()
	if m.packed.version != current.Version {
		m.packed = packedTree{version: current.Version, data: rollout.Pack(current.YAML)}
	}
	return m.packed.data
}

// offerSettings adopts a settings version announced by another process if it is
// newer.
func (m *Manager) offerSettings(version uint64, packed []byte) {
	tree, err := rollout.Unpack(packed)
	if err == nil {
		_, err = m.adopter.Offer(version, tree, rollout.FromPush)
	}
	if err != nil {
		event.SettingsRefused.Log(m.log, zap.Uint64("version", version), zap.Error(err))
	}
}
