// Router forwards clients' requests to model runners. One runs on every edge
// machine; it keeps nothing on disk that must survive.
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
		Description:       "Forwards clients' requests to model runners, as the plan of the controllers distributes them.",
		RequiredListeners: []string{"front", "readiness"},
		Serve:             serve,
	}, os.Args[1:]))
}

// serve runs the router until ctx ends.
func serve(ctx scope.Scope, reread <-chan *settings.Settings) error {
	r, err := router.New(ctx, router.Options{})
	if err != nil {
		return err
	}
	return r.Run(ctx, reread)
}
