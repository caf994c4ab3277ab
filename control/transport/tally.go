package transport

import (
	"maps"
	"sync"
)

// Volume is what the messages of one name came to: how many were answered, and
// the bytes of their bodies, heads not included.
type Volume struct {
	Messages int64
	// Asked and Told are the bytes of the questions and of their answers.
	Asked int64
	Told  int64
}

// Tally counts the messages that a daemon sent, by their name. A nil one counts
// nothing.
type Tally struct {
	mu      sync.Mutex
	volumes map[string]Volume
}

// Add counts a message that was answered.
func (t *Tally) Add(name string, asked int, told int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.volumes == nil {
		t.volumes = map[string]Volume{}
	}
	sum := t.volumes[name]
	t.volumes[name] = Volume{Messages: sum.Messages + 1, Asked: sum.Asked + int64(asked), Told: sum.Told + int64(told)}
}

// Volumes gives what was counted, by the messages' names.
func (t *Tally) Volumes() map[string]Volume {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.volumes)
}
