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

// MessageName names the question between daemons.
const MessageName = "readindex"

// Request asks a controller for the read index.
type Request struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the stored and sent form; it must never change.
func (Request) SchemaName() string { return "Ask_26" }

// Response answers it: the serial of the newest version, 0 where none was taken.
type Response struct {
	Serial ids.Serial `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (Response) SchemaName() string { return "Told_26" }

// Reader answers with reads that a majority confirms. Questions that wait
// together share the next read, which begins after all of them came in.
type Reader struct {
	read    func(inner scope.Scope) (ids.Serial, error)
	mu      sync.Mutex
	reading bool
	pending *sharedRead
}

// sharedRead is a read that some questions wait for.
type sharedRead struct {
	done   chan struct{}
	serial ids.Serial
	err    error
}

// NewReader makes a reader; read is one read that a majority confirms.
func NewReader(read func(ctx scope.Scope) (ids.Serial, error)) *Reader { return &Reader{read: read} }

// RegisterHandlers adds the reader's message to a table of calls.
func (r *Reader) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, MessageName, func(ctx scope.Scope, _ Request) (Response, error) {
		serial, err := r.ReadIndex(ctx)
		return Response{Serial: serial}, err
	})
}

// ReadIndex gives the serial that a majority confirmed after the question came.
func (r *Reader) ReadIndex(ctx scope.Scope) (ids.Serial, error) {
	r.mu.Lock()
	mine := r.pending
	if mine == nil {
		mine = &sharedRead{done: make(chan struct{})}
		r.pending = mine
	}
	if !r.reading {
		r.reading = true
		go r.readLoop(ctx.WithoutCancel())
	}
	r.mu.Unlock()
	select {
	case <-mine.done:
		return mine.serial, mine.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// readLoop reads for those who wait until nobody does.
func (r *Reader) readLoop(ctx scope.Scope) {
	for {
		r.mu.Lock()
		turn := r.pending
		r.pending, r.reading = nil, turn != nil
		r.mu.Unlock()
		if turn == nil {
			return
		}
		turn.serial, turn.err = r.read(ctx)
		close(turn.done)
	}
}
