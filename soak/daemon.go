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

// RunDaemon is one daemon of a soak: the same parts as the program that ships, on a
// network whose links are broken as the orders say. It ends when the orders do.
func RunDaemon(role string, arguments []string, orders io.Reader) int {
	broken := &links.Injector{}
	go func() {
		broken.Follow(orders)
		os.Exit(0)
	}()
	network := func(top scope.Scope) links.Network { return links.Network{Injector: broken, IP: top.Settings.IP} }
	daemons := map[string]program.Daemon{
		router.Role: {
			Name: router.Role, Description: "A router of a soak.", RequiredListeners: []string{"front", "readiness"},
			Serve: func(top scope.Scope, reread <-chan *settings.Settings) error {
				r, err := router.New(top, router.Options{Network: network(top)})
				if err != nil {
					return err
				}
				return r.Run(top, reread)
			},
		},
		controller.Role: {
			Name: controller.Role, Description: "A controller of a soak.", RequiredListeners: []string{"control", "directory"},
			Serve: func(top scope.Scope, reread <-chan *settings.Settings) error {
				c, err := controller.New(top, controller.Options{Network: network(top)})
				if err != nil {
					return err
				}
				return c.Run(top, reread)
			},
		},
	}
	daemon, known := daemons[role]
	if !known {
		fmt.Fprintf(os.Stderr, "soak: no daemon is named %q\n", role)
		return 1
	}
	return program.Main(daemon, arguments)
}
