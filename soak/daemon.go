package soak

import (
	"fmt"
	"io"
	"os"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/emulator/links"
)

// RunDaemon runs the daemon of a role as its own program does, on a network that
// injects the faults read from linkFaults. It returns the exit status. The process
// exits when linkFaults ends, since the run that started it is gone then.
func RunDaemon(role string, arguments []string, linkFaults io.Reader) int {
	injector := &links.Injector{}
	daemon, ok := daemons(injector)[role]
	if !ok {
		fmt.Fprintf(os.Stderr, "soak: no daemon is named %q\n", role)
		return 1
	}
	go func() {
		injector.Follow(linkFaults)
		os.Exit(0)
	}()
	return program.Main(daemon, arguments)
}

// daemons returns the daemons by role; their links are those of the injector.
func daemons(injector *links.Injector) map[string]program.Daemon {
	network := func(ctx scope.Scope) links.Network {
		return links.Network{Injector: injector, IP: ctx.Settings.IP}
	}
	return map[string]program.Daemon{
		router.Role: {
			Name: router.Role, Description: "A router of a soak.", RequiredListeners: []string{"front", "readiness"},
			Serve: func(ctx scope.Scope, reread <-chan *settings.Settings) error {
				r, err := router.New(ctx, router.Options{Network: network(ctx)})
				if err != nil {
					return err
				}
				return r.Run(ctx, reread)
			},
		},
		controller.Role: {
			Name: controller.Role, Description: "A controller of a soak.", RequiredListeners: []string{"control", "directory"},
			Serve: func(ctx scope.Scope, reread <-chan *settings.Settings) error {
				c, err := controller.New(ctx, controller.Options{Network: network(ctx)})
				if err != nil {
					return err
				}
				return c.Run(ctx, reread)
			},
		},
	}
}
