// Router carries visitors' requests to model runners, on every edge machine.
package main

import (
	"os"

	"onyxwell/base/program"
)

func main() {
	os.Exit(program.Main(program.Daemon{
		Name:  "router",
		Text:  "Carries visitors' requests to the model runners that the plan chooses.",
		Needs: []string{"front", "readiness"},
		Serve: serve,
	}, os.Args[1:]))
}
