// Fleet-controller is onyxwell's control plane: it replicates the configuration
// and evacuations, discovers runners, plans, and serves the admin and the
// directory API. One runs on every machine with a disk.
package main

import (
	"os"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/controller"
)

func main() {
	parts, rollouts := &partsFlags{}, &rolloutFlags{}
	os.Exit(program.Main(program.Daemon{
		Name:              controller.Role,
		Description:       "Replicates onyxwell's control state, serves the admin and the directory API, discovers runners and plans.",
		RequiredListeners: []string{"control", "directory"},
		Serve:             serve,
		Commands: []program.Command{{
			Name: "parts", Help: "Show who holds the parts of the duties at the platform, or hand one over.", Flags: parts, Run: parts.run,
		}, {
			Name: "rollout", Help: "Order, show or watch rollouts of new versions.", Flags: rollouts, Run: rollouts.run,
		}},
	}, os.Args[1:]))
}

// serve runs the controller until ctx ends.
func serve(ctx scope.Scope, reread <-chan *settings.Settings) error {
	c, err := controller.New(ctx, controller.Options{})
	if err != nil {
		return err
	}
	return c.Run(ctx, reread)
}
