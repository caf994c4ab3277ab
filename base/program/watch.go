package program

import (
	"os"

	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// File is a settings file as it was read last.
type File struct {
	path string
	// last is the stamp from before it was read: a change that comes while it is
	// read is seen as one.
	last stamp
}

// Open reads a settings file for the first time.
func Open(path string) (*File, *settings.Boot, error) {
	file := &File{path: path, last: stampOf(path)}
	settings, err := settings.Read(path)
	return file, settings, err
}

// Watch reads the settings file again on each SIGHUP, and when the file changes
// without any signal, and gives each new one.
func (f *File) Watch(top scope.Scope, hangups <-chan os.Signal) <-chan *settings.Boot {
	reread := make(chan *settings.Boot, 1)
	go f.watch(top, hangups, reread)
	return reread
}

func (f *File) watch(top scope.Scope, hangups <-chan os.Signal, reread chan<- *settings.Boot) {
	pause := max(settings.Seconds(top.Boot.Bounds.SeedLagS), settings.Milliseconds(top.Boot.Bounds.ApplyWithinMS))
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
		stamp := stampOf(f.path)
		if stamp == f.last && !changed {
			continue
		}
		fresh, err := settings.Read(f.path)
		if err != nil {
			top.Log.Error().Str("part", "boot").Err(err).Msg("the changed boot file is not taken")
			continue
		}
		f.last = stamp
		select {
		case reread <- fresh:
		case <-top.Done():
		}
	}
}

type stamp struct {
	size  int64
	moved int64
}

func stampOf(path string) stamp {
	found, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{size: found.Size(), moved: found.ModTime().UnixNano()}
}
