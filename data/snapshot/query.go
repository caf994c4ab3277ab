package snapshot

import "onyxwell/base/ids"

// Find gives the listed runner of an id; nil where there is none.
//
// Example:
//
//	runner := seen.Find(id)
func (seen *Snapshot) Find(id ids.RunnerID) *Runner {
	for _, runners := range seen.Runners {
		for _, runner := range runners {
			if runner.ID == id {
				return runner
			}
		}
	}
	return nil
}

// Usable tells whether a runner may be sent requests now: listed, ready, and
// in a zone that is not being emptied.
//
// Example:
//
//	if !frame.Now().Usable(runner.Service, runner.ID) { chooseAnother() }
func (seen *Snapshot) Usable(service ids.Service, id ids.RunnerID) bool {
	for _, runner := range seen.Runners[service] {
		if runner.ID == id {
			return seen.Open(runner)
		}
	}
	return false
}

// Open tells the same of a runner of this snapshot.
//
// Example:
//
//	for _, runner := range seen.Runners[service] { if seen.Open(runner) { ... } }
func (seen *Snapshot) Open(runner *Runner) bool {
	return !runner.Draining && !seen.Empty[runner.Zone]
}
