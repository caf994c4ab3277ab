// Package scope holds a context that carries the clock, the logger and the node
// settings along.
//
// It is on its way out: types take what they need in their constructors, and
// functions take a context.Context. A Scope is a context.Context, so that it can
// be passed to either.
package scope

import (
	"context"
	"io"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
)

// Scope is a context with a clock, a logger and the node settings.
type Scope struct {
	context.Context
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
}

// Options are the parts of a new Scope. A nil Clock is the machine's, a nil Log
// discards everything, and nil Settings are empty.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
}

// New returns a scope that never ends.
func New(options Options) Scope {
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	if options.Log == nil {
		options.Log = NewLogger("error", io.Discard)
	}
	if options.Settings == nil {
		options.Settings = &settings.Settings{}
	}
	return Scope{Context: context.Background(), Clock: options.Clock, Log: options.Log, Settings: options.Settings}
}

// WithContext returns the scope with ctx in place of its context.
func (s Scope) WithContext(ctx context.Context) Scope {
	s.Context = ctx
	return s
}

// WithTimeout returns a scope that ends once the timeout has passed on its clock.
// The caller must call the cancel function.
func (s Scope) WithTimeout(timeout time.Duration) (Scope, func()) {
	ctx, cancel := s.Clock.WithTimeout(s.Context, timeout)
	return s.WithContext(ctx), cancel
}

// WithCancel returns a scope that ends with s, or when the cancel function is
// called, which the caller must do.
func (s Scope) WithCancel() (Scope, func()) {
	ctx, cancel := context.WithCancel(s.Context)
	return s.WithContext(ctx), cancel
}

// Wait blocks until d has passed or the scope ends, and reports whether d has
// passed.
func (s Scope) Wait(d time.Duration) bool { return clock.Wait(s.Context, s.Clock, d) }

// Now returns the present instant of the clock.
func (s Scope) Now() clock.Instant { return s.Clock.Now() }

// NewLogger returns a logger of JSON lines. The level is debug, info, warn or
// error.
func NewLogger(level string, writer io.Writer) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeFormat: "15:04:05.000", Writer: &log.IOWriter{Writer: writer}}
}
