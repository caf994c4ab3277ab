// Router carries visitors' requests to model runners, on every edge machine.
package main

import (
	"os"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/data/router"
)

func main() {
	os.Exit(program.Main(program.Daemon{
		Name:              router.Role,
		Description:       "Carries visitors' requests to the model runners that the plan chooses.",
		RequiredListeners: []string{"front", "readiness"},
		Serve:             serve,
	}, os.Args[1:]))
}

func serve(top scope.Scope, reread <-chan *settings.Settings) error {
	r, err := router.New(top, router.Options{})
	if err != nil {
		return err
	}
	return r.Run(top, reread)
}
