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
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
}

// Options are what a scope is made from.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
}

// New makes the outermost scope; what the options leave out is filled in.
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

// WithContext gives the same scope below another context.
func (s Scope) WithContext(parent context.Context) Scope {
	s.Context = parent
	return s
}

// WithTimeout gives the same scope with an end after the span.
func (s Scope) WithTimeout(span clock.Span) (Scope, func()) {
	limited, cancel := s.Clock.WithTimeout(s.Context, span)
	return s.WithContext(limited), cancel
}

// WithCancel gives the same scope and a function that ends it.
func (s Scope) WithCancel() (Scope, func()) {
	inner, cancel := context.WithCancel(s.Context)
	return s.WithContext(inner), cancel
}

// AfterFunc has something done once the scope has ended; the function it gives back
// calls that off.
func (s Scope) AfterFunc(act func()) (stop func() bool) { return context.AfterFunc(s.Context, act) }

// WithoutCancel gives the same scope without the end of its parent.
func (s Scope) WithoutCancel() Scope { return s.WithContext(context.WithoutCancel(s.Context)) }

// Wait blocks for the span; false says that the scope ended first.
func (s Scope) Wait(span clock.Span) bool { return clock.Wait(s.Context, s.Clock, span) }

// Now gives the present instant.
func (s Scope) Now() clock.Instant { return s.Clock.Now() }

// NewLogger makes a logger of JSON lines at a level: debug, info, warn or error.
func NewLogger(level string, writer io.Writer) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeFormat: "15:04:05.000", Writer: &log.IOWriter{Writer: writer}}
}
