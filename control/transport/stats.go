package transport

import (
	"maps"
	"sync"
)

// MessageVolume is what the messages of one name came to: how many were answered, and
// the bytes of their bodies, heads not included.
type MessageVolume struct {
	Messages int64
	// RequestBytes and Told are the bytes of the questions and of their answers.
	RequestBytes  int64
	ResponseBytes int64
}

// MessageStats counts the messages that a daemon sent, by their name. A nil one counts
// nothing.
type MessageStats struct {
	mu      sync.Mutex
	volumes map[string]MessageVolume
}

// Add counts a message that was answered.
func (m *MessageStats) Add(name string, asked int, told int) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.volumes == nil {
		m.volumes = map[string]MessageVolume{}
	}
	sum := m.volumes[name]
	m.volumes[name] = MessageVolume{Messages: sum.Messages + 1, RequestBytes: sum.RequestBytes + int64(asked), ResponseBytes: sum.ResponseBytes + int64(told)}
}

// Snapshot gives what was counted, by the messages' names.
func (m *MessageStats) Snapshot() map[string]MessageVolume {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.volumes)
}
