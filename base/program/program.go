// Package program is the common command line of the daemons: run (the
// default), check for the boot file, and the version.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Daemon is what a program runs.
type Daemon struct {
	Name        string
	Description string
	// RequiredListeners names the listening addresses that the boot file must hold.
	RequiredListeners []string
	// Serve runs until the context ends, then leaves in order. Reread is told
	// each new boot file.
	Serve func(top scope.Scope, reread <-chan *settings.Settings) error
}

type commandLine struct {
	Boot     string                   `help:"Path of the boot file; by default what ${variable} holds." placeholder:"FILE"`
	LogLevel string                   `help:"Least level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"warn"`
	Grouping string                   `help:"Whether runners are grouped by the length of the work that they take: on or off." enum:"on,off" default:"off"`
	Metrics  settings.MetricsEndpoint `help:"Serve this daemon's figures as text at PORT/PATH of the machine's address." placeholder:"PORT/PATH"`
	Version  kong.VersionFlag         `help:"Print the version and stop."`
	Run      struct{}                 `cmd:"" default:"1" help:"Run the daemon (the default)."`
	Check    struct{}                 `cmd:"" help:"Read and check the boot file, then stop."`
}

// Main parses the command line and runs a command; it gives the exit status.
func Main(daemon Daemon, arguments []string) int {
	hangups := NotifyHangup()
	var line commandLine
	parser, err := kong.New(&line, kong.Name(daemon.Name), kong.Description(daemon.Description),
		kong.Vars{"version": daemon.Name + " " + Version, "variable": settings.PathVariable})
	if err != nil {
		return fail(daemon, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return fail(daemon, err)
	}
	if line.Boot == "" {
		line.Boot = settings.Path()
	}
	file, settings, err := OpenSettings(line.Boot)
	if err == nil {
		err = settings.RequireListeners(daemon.RequiredListeners...)
	}
	if err != nil {
		return fail(daemon, err)
	}
	if settings != nil {
		settings.Grouping, settings.Metrics = line.Grouping == "on", line.Metrics
	}
	commands := map[string]func() error{
		"check": func() error {
			_, err := fmt.Printf("%s: boot file %s is good: %s in %s\n", daemon.Name, line.Boot, settings.NodeName, settings.Zone)
			return err
		},
		"run": func() error { return run(daemon, line, settings, file, hangups) },
	}
	if err := commands[parsed.Command()](); err != nil {
		return fail(daemon, err)
	}
	return 0
}

func fail(daemon Daemon, err error) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", daemon.Name, err)
	return 1
}

func run(daemon Daemon, line commandLine, settings *settings.Settings, file *SettingsFile, hangups <-chan os.Signal) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(settings.Limits.MemoryMB << 20 * 6 / 10)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	top := scope.New(scope.Options{Settings: settings, Log: scope.NewLogger(line.LogLevel, os.Stderr)}).WithContext(ctx)
	return daemon.Serve(top, file.Watch(top, hangups))
}
