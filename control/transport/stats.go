package transport

import (
	"maps"
	"sync"
)

// MessageVolume is what the messages of one name sum up to.
type MessageVolume struct {
	// Messages is how many were answered.
	Messages int64
	// RequestBytes and ResponseBytes are the lengths of the bodies, without heads.
	RequestBytes  int64
	ResponseBytes int64
}

// MessageStats counts the messages that a daemon sent and that were answered, by name. The zero value
// is ready; it is safe for concurrent use.
type MessageStats struct {
	mu      sync.Mutex
	volumes map[string]MessageVolume
}

// Add counts one message by the lengths of its bodies in bytes. On nil
// MessageStats it does nothing.
func (m *MessageStats) Add(name string, requestBytes int, responseBytes int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.volumes == nil {
		m.volumes = map[string]MessageVolume{}
	}
	volume := m.volumes[name]
	volume.Messages++
	volume.RequestBytes += int64(requestBytes)
	volume.ResponseBytes += int64(responseBytes)
	m.volumes[name] = volume
}

// Snapshot returns a copy of the counts, by message name.
func (m *MessageStats) Snapshot() map[string]MessageVolume {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.volumes)
}
