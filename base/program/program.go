// Package program is the entry point of the daemons: the command line, the first
// read of the boot file and its reloads, and the signals of the process.
package program

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"onyxwell/base/scope"
	"onyxwell/base/settings"
)

// Version is the version of all programs.
const Version = "0.1.0"

// Daemon describes a program to Main.
type Daemon struct {
	Name        string
	Description string
	// RequiredListeners are the client interfaces for which the boot file must have
	// an address.
	RequiredListeners []string
	// Serve runs the daemon until ctx ends and then shuts it down gracefully; its
	// error is that of the program. Each reloaded boot file is received from
	// reread.
	Serve func(ctx scope.Scope, reread <-chan *settings.Settings) error
	// Commands are what the program does besides run and check.
	Commands []Command
}

// Command is a command of the command line that needs the boot file.
type Command struct {
	Name, Help string
	// Flags is a pointer to a struct whose fields kong fills from the command line.
	Flags any
	Run   func(node *settings.Settings) error
}

// commandLine is what the flags are parsed into; the names of its fields are the
// flags.
type commandLine struct {
	Boot     string                   `help:"Path of the boot file; by default what ${variable} holds." placeholder:"FILE"`
	LogLevel string                   `help:"Least level that is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"warn"`
	Grouping string                   `help:"Whether runners are grouped by the length of the work that they take: on or off." enum:"on,off" default:"off"`
	Metrics  settings.MetricsEndpoint `help:"Serve this daemon's figures as text at PORT/PATH of the machine's address." placeholder:"PORT/PATH"`
	Version  kong.VersionFlag         `help:"Print the version and stop."`
	Run      struct{}                 `cmd:"" default:"1" help:"Run the daemon (the default)."`
	Check    struct{}                 `cmd:"" help:"Read and check the boot file, then stop."`
}

// Main parses the command line, runs the command and returns the exit status of
// the process.
func Main(daemon Daemon, arguments []string) int {
	if err := execute(daemon, arguments); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", daemon.Name, err)
		return 1
	}
	return 0
}

func execute(daemon Daemon, arguments []string) error {
	hangups := NotifyHangup()
	var line commandLine
	options := []kong.Option{kong.Name(daemon.Name), kong.Description(daemon.Description),
		kong.Vars{"version": daemon.Name + " " + Version, "variable": settings.PathVariable}}
	for _, command := range daemon.Commands {
		options = append(options, kong.DynamicCommand(command.Name, command.Help, "", command.Flags))
	}
	parser, err := kong.New(&line, options...)
	if err != nil {
		return err
	}
	command, err := parser.Parse(arguments)
	if err != nil {
		return err
	}
	if line.Boot == "" {
		line.Boot = settings.Path()
	}
	file, node, err := OpenSettings(line.Boot)
	if err != nil {
		return err
	}
	if err := node.RequireListeners(daemon.RequiredListeners...); err != nil {
		return err
	}
	node.Grouping, node.Metrics = line.Grouping == "on", line.Metrics
	if command.Command() == "check" {
		return printCheck(daemon, line.Boot, node)
	}
	for _, named := range daemon.Commands {
		// Kong appends a command's arguments to its name.
		if name, _, _ := strings.Cut(command.Command(), " "); name == named.Name {
			return named.Run(node)
		}
	}
	return run(daemon, line.LogLevel, node, file, hangups)
}

// printCheck prints the result of the check command for a valid boot file.
func printCheck(daemon Daemon, path string, node *settings.Settings) error {
	_, err := fmt.Printf("%s: boot file %s is good: %s in %s\n", daemon.Name, path, node.NodeName, node.Zone)
	if unsupported := node.Unsupported(); len(unsupported) > 0 {
		_, err = fmt.Printf("%s: not supported: %s\n", daemon.Name, strings.Join(unsupported, ", "))
	}
	if len(node.Unread) > 0 {
		_, err = fmt.Printf("%s: not read: %s\n", daemon.Name, strings.Join(node.Unread, ", "))
	}
	return err
}

// memoryLimitPercent is the part of the process's memory that the Go runtime may
// use before it collects harder; the rest is for what it doesn't count.
const memoryLimitPercent = 60

// run serves until SIGTERM or an interrupt.
func run(daemon Daemon, logLevel string, node *settings.Settings, file *SettingsFile, hangups <-chan os.Signal) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(node.Limits.MemoryMB << 20 * memoryLimitPercent / 100)
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	ctx := scope.New(scope.Options{Settings: node, Log: scope.NewLogger(logLevel, os.Stderr)}).WithContext(signals)
	if unsupported := node.Unsupported(); len(unsupported) > 0 {
		ctx.Log.Warn().Str("part", "boot").Strs("settings", unsupported).Msg("settings are not supported")
	}
	return daemon.Serve(ctx, file.Watch(ctx, hangups))
}
