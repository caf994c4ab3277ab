package transport

import (
	"maps"
	"sync"
)

// MessageVolume has the totals for the messages of one name.
type MessageVolume struct {
	// Messages is the number of successful calls and sent datagrams.
	Messages int64
	// RequestBytes and ResponseBytes are the total lengths of the bodies, without the
	// HTTP headers.
	RequestBytes  int64
	ResponseBytes int64
}

// MessageStats counts the successful calls and the datagrams that a daemon has sent,
// by message name. The zero value is ready to use. It is safe for concurrent use.
type MessageStats struct {
	mu      sync.Mutex
	volumes map[string]MessageVolume
}

// Add counts one message with the lengths of its bodies in bytes. It does nothing if
// m is nil.
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

// Snapshot returns a copy of the totals by message name.
func (m *MessageStats) Snapshot() map[string]MessageVolume {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.volumes)
}
