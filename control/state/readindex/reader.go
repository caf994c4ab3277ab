// Package readindex tells a router that starts the newest version that a
// majority of the voters confirms: its read index. Until it acts on that
// version or a later one it is not ready, so that one that starts beside a
// cut-off controller does not serve what others have long replaced.
package readindex

import (
	"sync"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// Message names the question between daemons.
const Message = "readindex"

// Ask asks a controller for the read index.
type Ask struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ask) SchemaName() string { return "Ask_26" }

// Told answers it: the serial of the newest version, 0 where none was taken.
type Told struct {
	Serial ids.Serial `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (Told) SchemaName() string { return "Told_26" }

// Reader answers with reads that a majority confirms. Questions that wait
// together share the next read, which begins after all of them came in.
type Reader struct {
	read    func(inner scope.Scope) (ids.Serial, error)
	mu      sync.Mutex
	busy    bool
	waiting *shared
}

// shared is a read that some questions wait for.
type shared struct {
	done   chan struct{}
	serial ids.Serial
	err    error
}

// NewReader makes a reader; read is one read that a majority confirms.
func NewReader(read func(ctx scope.Scope) (ids.Serial, error)) *Reader { return &Reader{read: read} }

// Serve adds the reader's message to a table of calls.
func (r *Reader) Serve(calls *httpcall.Table) {
	transport.Handle(calls, Message, func(ctx scope.Scope, _ Ask) (Told, error) {
		serial, err := r.Newest(ctx)
		return Told{Serial: serial}, err
	})
}

// Newest gives the serial that a majority confirmed after the question came.
func (r *Reader) Newest(ctx scope.Scope) (ids.Serial, error) {
	r.mu.Lock()
	mine := r.waiting
	if mine == nil {
		mine = &shared{done: make(chan struct{})}
		r.waiting = mine
	}
	if !r.busy {
		r.busy = true
		go r.work(ctx.Detached())
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.serial, mine.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// work reads for those who wait until nobody does.
func (r *Reader) work(ctx scope.Scope) {
	for {
		r.mu.Lock()
		turn := r.waiting
		r.waiting, r.busy = nil, turn != nil
		r.mu.Unlock()
		if turn == nil {
			return
		}
		turn.serial, turn.err = r.read(ctx)
		close(turn.done)
	}
}
