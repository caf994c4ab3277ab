package program

import (
	"os"

	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// SettingsFile is a settings file as it was read last.
type SettingsFile struct {
	path string
	// lastStamp is the stamp from before it was read: a change that comes while it is
	// read is seen as one.
	lastStamp fileStamp
}

// OpenSettings reads a settings file for the first time.
func OpenSettings(path string) (*SettingsFile, *settings.Settings, error) {
	file := &SettingsFile{path: path, lastStamp: statFile(path)}
	settings, err := settings.Read(path)
	return file, settings, err
}

// Watch reads the settings file again on each SIGHUP, and when the file changes
// without any signal, and gives each new one.
func (s *SettingsFile) Watch(top scope.Scope, hangups <-chan os.Signal) <-chan *settings.Settings {
	reread := make(chan *settings.Settings, 1)
	go s.watch(top, hangups, reread)
	return reread
}

func (s *SettingsFile) watch(top scope.Scope, hangups <-chan os.Signal, reread chan<- *settings.Settings) {
	pause := max(settings.Seconds(top.Settings.Bounds.SeedLagS), settings.Milliseconds(top.Settings.Bounds.ApplyWithinMS))
	for {
		// A SIGHUP says that the file changed, whatever its size and time say.
		changed := false
		select {
		case <-top.Done():
			return
		case <-hangups:
			changed = true
		case <-top.Clock.After(pause):
		}
		stamp := statFile(s.path)
		if stamp == s.lastStamp && !changed {
			continue
		}
		fresh, err := settings.Read(s.path)
		if err != nil {
			top.Log.Error().Str("part", "boot").Err(err).Msg("the changed boot file is not taken")
			continue
		}
		s.lastStamp = stamp
		select {
		case reread <- fresh:
		case <-top.Done():
		}
	}
}

type fileStamp struct {
	size     int64
	modified int64
}

func statFile(path string) fileStamp {
	found, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{size: found.Size(), modified: found.ModTime().UnixNano()}
}
