// Package scope holds the project's one context type. It stands in for long
// lists of arguments: where a call comes from, until when it may take, the
// clock, the log and the boot file.
package scope

import (
	"context"
	"io"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
)

// Scope is handed down every call that waits, logs or needs the boot file.
type Scope struct {
	context.Context
	Clock clock.Clock
	Log   *log.Logger
	Boot  *settings.Boot
}

// Options are what a scope is made from.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	Boot  *settings.Boot
}

// New makes the outermost scope; what the options leave out is filled in.
func New(options Options) Scope {
	if options.Clock == nil {
		options.Clock = clock.Steady()
	}
	if options.Log == nil {
		options.Log = Logger("error", io.Discard)
	}
	if options.Boot == nil {
		options.Boot = &settings.Boot{}
	}
	return Scope{Context: context.Background(), Clock: options.Clock, Log: options.Log, Boot: options.Boot}
}

// Under gives the same scope below another context.
func (s Scope) Under(parent context.Context) Scope {
	s.Context = parent
	return s
}

// WithLimit gives the same scope with an end after the span.
func (s Scope) WithLimit(span clock.Span) (Scope, func()) {
	limited, cancel := s.Clock.WithLimit(s.Context, span)
	return s.Under(limited), cancel
}

// WithEnd gives the same scope and a function that ends it.
func (s Scope) WithEnd() (Scope, func()) {
	inner, cancel := context.WithCancel(s.Context)
	return s.Under(inner), cancel
}

// OnEnd has something done once the scope has ended; the function it gives back
// calls that off.
func (s Scope) OnEnd(act func()) (stop func() bool) { return context.AfterFunc(s.Context, act) }

// Detached gives the same scope without the end of its parent.
func (s Scope) Detached() Scope { return s.Under(context.WithoutCancel(s.Context)) }

// Wait blocks for the span; false says that the scope ended first.
func (s Scope) Wait(span clock.Span) bool { return clock.Wait(s.Context, s.Clock, span) }

// Now gives the present instant.
func (s Scope) Now() clock.Instant { return s.Clock.Now() }

// Logger makes a logger of JSON lines at a level: debug, info, warn or error.
func Logger(level string, writer io.Writer) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeFormat: "15:04:05.000", Writer: &log.IOWriter{Writer: writer}}
}
