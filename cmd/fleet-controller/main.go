// Fleet-controller keeps the control state of onyxwell: specs, evacuations,
// the discovery of runners and the plan, on the machines with a disk.
package main

import (
	"os"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/controller"
)

func main() {
	os.Exit(program.Main(program.Daemon{
		Name:              controller.Role,
		Description:       "Keeps onyxwell's control state, answers its operator and directory, and plans.",
		RequiredListeners: []string{"control", "directory"},
		Serve:             serve,
	}, os.Args[1:]))
}

func serve(top scope.Scope, reread <-chan *settings.Settings) error {
	made, err := controller.New(top, controller.Options{})
	if err != nil {
		return err
	}
	return made.Run(top, reread)
}
