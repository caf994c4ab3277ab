package program

import (
	"os"
	"time"

	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// SettingsFile is a boot file and the state in which it was read last.
type SettingsFile struct {
	path string
	// lastStamp was taken before that read, so that a change during the read
	// shows as one.
	lastStamp fileStamp
}

// OpenSettings reads a boot file for the first time.
func OpenSettings(path string) (*SettingsFile, *settings.Settings, error) {
	file := &SettingsFile{path: path, lastStamp: statFile(path)}
	node, err := settings.Read(path)
	return file, node, err
}

// Watch reads the file again on each SIGHUP and, since it may change without
// one, whenever a poll finds another size or modification time. Valid settings
// are sent on the channel it returns; an invalid file is logged and changes
// nothing. It stops when ctx ends; the channel is not closed. It may be called
// once.
func (s *SettingsFile) Watch(ctx scope.Scope, hangups <-chan os.Signal) <-chan *settings.Settings {
	reread := make(chan *settings.Settings, 1)
	go s.watch(ctx, hangups, reread)
	return reread
}

func (s *SettingsFile) watch(ctx scope.Scope, hangups <-chan os.Signal, reread chan<- *settings.Settings) {
	interval := pollInterval(ctx.Settings.Bounds)
	for {
		// The file counts as changed after a SIGHUP, even if its stamp is the same.
		hungUp := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			hungUp = true
		case <-ctx.Clock.After(interval):
		}
		stamp := statFile(s.path)
		if stamp == s.lastStamp && !hungUp {
			continue
		}
		node, err := settings.Read(s.path)
		if err != nil {
			ctx.Log.Error().Str("part", "boot").Err(err).Msg("boot file reload failed")
			continue
		}
		s.lastStamp = stamp
		select {
		case reread <- node:
		case <-ctx.Done():
		}
	}
}

// pollInterval returns the time between two looks at the file's stamp.
func pollInterval(bounds settings.Bounds) time.Duration {
	return max(settings.Seconds(bounds.SeedLagS), settings.Milliseconds(bounds.ApplyWithinMS))
}

// fileStamp tells two states of a file apart, as far as that goes without
// reading it.
type fileStamp struct {
	size     int64
	modified int64
}

// statFile returns the stamp of a file; one that can't be read has the zero
// stamp.
func statFile(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: info.Size(), modified: info.ModTime().UnixNano()}
}
