package readindex

import (
	"context"
	"sync"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ReadIndexMessage is the name of the read index call on the wire; it must never
// change.
const ReadIndexMessage = "readindex"

// Request asks a controller for the read index.
type Request struct {
	From ids.Address `avro:"From"`
}

// SchemaName returns the Avro record name on the wire; it must never change.
func (Request) SchemaName() string { return "Ask_26" }

// Response carries the read index: the newest version, or 0 if no configuration was
// ever accepted.
type Response struct {
	Version ids.Version `avro:"Serial"`
}

// SchemaName returns the Avro record name on the wire; it must never change.
func (Response) SchemaName() string { return "Told_26" }

// Reader answers requests for the read index with reads that a majority confirms.
// Concurrent requests share the next read, which begins after all of them have
// arrived. Reader is safe for concurrent use.
type Reader struct {
	read func(ctx context.Context) (ids.Version, error)

	mu sync.Mutex
	// reading is true while readLoop is running. pending is the read that follows the
	// one in progress, or nil if no request waits for it.
	reading bool
	pending *sharedRead
}

// sharedRead is a read that several requests wait for. Its result is set before done
// is closed.
type sharedRead struct {
	done    chan struct{}
	version ids.Version
	err     error
}

// NewReader returns a Reader that calls read, which must return the newest version
// once a majority has confirmed it.
func NewReader(read func(ctx context.Context) (ids.Version, error)) *Reader {
	return &Reader{read: read}
}

// RegisterHandlers registers the handler of read index requests from other daemons.
func (r *Reader) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, ReadIndexMessage, func(ctx context.Context, _ Request) (Response, error) {
		version, err := r.ReadIndex(ctx)
		return Response{Version: version}, err
	})
}

// ReadIndex returns the newest version. The read in which a majority confirms it
// begins after the call has.
func (r *Reader) ReadIndex(ctx context.Context) (ids.Version, error) {
	read := r.join(ctx)
	select {
	case <-read.done:
		return read.version, read.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// join returns the read that begins next, and starts readLoop if it is not running.
func (r *Reader) join(ctx context.Context) *sharedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = &sharedRead{done: make(chan struct{})}
	}
	if !r.reading {
		r.reading = true
		// The loop also serves later callers, so it must not end with this caller's
		// context.
		go r.readLoop(context.WithoutCancel(ctx))
	}
	return r.pending
}

// readLoop runs pending reads until there are none.
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
