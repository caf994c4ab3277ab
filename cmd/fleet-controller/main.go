// Fleet-controller keeps the control state of onyxwell: specs, evacuations,
// the census of runners and the plan, on the machines with a disk.
package main

import (
	"os"

	"onyxwell/base/program"
)

func main() {
	os.Exit(program.Main(program.Daemon{
		Name:  "fleet-controller",
		Text:  "Keeps onyxwell's control state, answers its operator and directory, and plans.",
		Needs: []string{"control", "directory"},
		Serve: serve,
	}, os.Args[1:]))
}
