package scale

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"

	"onyxwell/base/clock"
	"onyxwell/deployment"
)

// real are the real daemons of a run.
type real struct {
	all    []*deployment.Process
	errors []*bytes.Buffer
}

// grace is how long a process may take to end in order.
const grace = 5 * clock.Second

func (real *real) start(programs string, folder string, layout deployment.Layout) error {
	for _, machine := range layout.Machines() {
		path, err := layout.Write(folder, machine)
		if err != nil {
			return err
		}
		text := &bytes.Buffer{}
		process, err := deployment.Start(machine, text, filepath.Join(programs, machine.Role()), "--boot", path)
		if err != nil {
			return err
		}
		real.all, real.errors = append(real.all, process), append(real.errors, text)
	}
	return nil
}

// died names the processes that ended though nobody asked them to.
func (real *real) died() error {
	var found []error
	for index, process := range real.all {
		if process.Over() {
			found = append(found, fmt.Errorf("%s of %s ended during the run: %v %s",
				process.Machine.Role(), process.Machine.Name(), process.Err(), real.errors[index].String()))
		}
	}
	return errors.Join(found...)
}

func (real *real) stop() { deployment.Stop(real.all, grace) }

// use is what the processes of a role have taken so far.
type use struct {
	deployment.Usage
	Count int
}

// used adds up what the processes of a role took.
func (real *real) used(role string) use {
	sum := use{}
	for _, process := range real.all {
		if process.Machine.Role() != role {
			continue
		}
		if one, err := process.Usage(); err == nil {
			sum.ProcessorMS += one.ProcessorMS
			sum.MemoryMB += one.MemoryMB
			sum.Count++
		}
	}
	return sum
}
