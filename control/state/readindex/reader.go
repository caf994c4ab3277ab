package readindex

import (
	"context"
	"sync"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ReadIndexMessage names the request between daemons.
const ReadIndexMessage = "readindex"

// Request asks a controller for the read index.
type Request struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the stored and sent form; it must never change.
func (Request) SchemaName() string { return "Ask_26" }

// Response carries the serial of the newest version; 0 where none was ever
// accepted.
type Response struct {
	Version ids.Version `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (Response) SchemaName() string { return "Told_26" }

// Reader answers requests for the read index, from reads that a majority
// confirms. Requests that wait together share the next read, which begins after
// all of them arrived. It is safe for concurrent use.
type Reader struct {
	read func(ctx context.Context) (ids.Version, error)

	mu sync.Mutex
	// reading reports that readLoop runs; pending is the read after the one that
	// it is at.
	reading bool
	pending *sharedRead
}

// sharedRead is a read that several requests wait for; its result is set before
// done is closed.
type sharedRead struct {
	done    chan struct{}
	version ids.Version
	err     error
}

// NewReader returns a Reader on top of read, which returns the newest serial once
// a majority has confirmed it.
func NewReader(read func(ctx context.Context) (ids.Version, error)) *Reader {
	return &Reader{read: read}
}

// RegisterHandlers serves the read index to other daemons.
func (r *Reader) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, ReadIndexMessage, func(ctx context.Context, _ Request) (Response, error) {
		version, err := r.ReadIndex(ctx)
		return Response{Version: version}, err
	})
}

// ReadIndex returns the newest serial that a majority confirmed after the call.
func (r *Reader) ReadIndex(ctx context.Context) (ids.Version, error) {
	read := r.join(ctx)
	select {
	case <-read.done:
		return read.version, read.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// join returns the read that begins next, and sees to it that it does.
func (r *Reader) join(ctx context.Context) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = &sharedRead{done: make(chan struct{})}
	}
	if !r.reading {
		r.reading = true
		// The loop serves other callers too: it ends with the last of them.
		go r.readLoop(context.WithoutCancel(ctx))
	}
	return r.pending
}

// readLoop runs pending reads until there is none.
func (r *Reader) readLoop(ctx context.Context) {
	for {
		r.mu.Lock()
		read := r.pending
		r.pending, r.reading = nil, read != nil
		r.mu.Unlock()
		if read == nil {
			return
		}
		read.version, read.err = r.read(ctx)
		close(read.done)
	}
}
