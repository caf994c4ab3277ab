package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/settings"
	"onyxwell/control/rollout"
)

// watchInterval is the time between two reads of a rollout that is watched.
const watchInterval = time.Second

// rolloutFlags are those of the rollout command.
type rolloutFlags struct {
	Action  string        `arg:"" enum:"start,status,watch" default:"status" help:"start orders a rollout, status shows all, watch shows one until its verdict."`
	Service string        `help:"The service: needed to start and to watch." placeholder:"SERVICE"`
	Target  string        `help:"The version that the service's traffic is to move to." placeholder:"VERSION"`
	Over    time.Duration `help:"The time that the rollout may take, such as 15s." placeholder:"DURATION"`
}

// rolloutsStatus is what the command reads of GET /status.
type rolloutsStatus struct {
	Rollouts []rollout.Status `json:"rollouts"`
}

// Decode implements httpcall.ResponseReader.
func (r *rolloutsStatus) Decode(raw httpcall.RawResponse) error {
	return decodeOK(raw, r)
}

func (c controllerCaller) status() (rolloutsStatus, error) {
	return callController[rolloutsStatus](c, request{Method: http.MethodGet, Path: "/status"})
}

// rolloutState is the response to GET /rollouts/SERVICE.
type rolloutState struct {
	Condition string          `json:"condition"`
	Target    json.RawMessage `json:"target_version"`
}

// Decode implements httpcall.ResponseReader.
func (r *rolloutState) Decode(raw httpcall.RawResponse) error {
	return decodeOK(raw, r)
}

// run orders, shows or watches rollouts.
func (r *rolloutFlags) run(node *settings.Settings) error {
	if r.Action != "status" && r.Service == "" {
		return fmt.Errorf("rollout %s: --service is missing", r.Action)
	}
	caller := newControllerCaller(node)
	switch r.Action {
	case "start":
		return r.start(caller)
	case "watch":
		return r.watch(caller)
	}
	status, err := caller.status()
	if err != nil {
		return err
	}
	return printRollouts(status.Rollouts)
}

// start orders a rollout.
func (r *rolloutFlags) start(caller controllerCaller) error {
	if r.Target == "" || r.Over <= 0 {
		return fmt.Errorf("rollout start: --target and --over are needed")
	}
	body, err := json.Marshal(map[string]any{"service": r.Service, "target_version": r.Target, "over_s": r.Over.Seconds()})
	if err != nil {
		return err
	}
	_, err = callController[acknowledgement](caller, request{Method: http.MethodPost, Path: "/rollouts", Body: body})
	return err
}

// watch prints what a majority says of a rollout whenever it changes, and what the director
// waits for where this controller knows it, until the verdict.
func (r *rolloutFlags) watch(caller controllerCaller) error {
	last := ""
	for {
		state, err := callController[rolloutState](caller, request{Method: http.MethodGet, Path: "/rollouts/" + r.Service})
		if err != nil {
			return err
		}
		line := fmt.Sprintf("%s to %s: %s", r.Service, state.Target, state.Condition)
		if status, err := caller.status(); err == nil {
			line += status.detailsOf(r.Service)
		}
		if line != last {
			fmt.Println(line)
			last = line
		}
		if state.Condition != rollout.InProgress.String() {
			return nil
		}
		time.Sleep(watchInterval)
	}
}

// detailsOf returns the stage of a service's rollout and what it waits for.
func (r rolloutsStatus) detailsOf(service string) string {
	for _, status := range r.Rollouts {
		if string(status.Service) != service {
			continue
		}
		details := ", stage " + status.Stage
		if status.WaitsFor != "" {
			details += ", waits for: " + status.WaitsFor
		}
		if status.Reason != "" {
			details += " (" + status.Reason + ")"
		}
		return details
	}
	return ""
}

// printRollouts prints a row for each rollout, and under it one for each route of which this
// controller has evidence.
func printRollouts(rollouts []rollout.Status) error {
	if len(rollouts) == 0 {
		_, err := fmt.Println("no rollout was ordered")
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "SERVICE\tTARGET\tCONDITION\tSTAGE\tELAPSED\tTERM\tEXPOSURE\tWAITS FOR\tREASON\n")
	for _, status := range rollouts {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n", status.Service, status.Target, status.Condition, status.Stage,
			milliseconds(status.ElapsedMS), milliseconds(status.TermMS), milliseconds(status.ReservedMS), status.WaitsFor, status.Reason)
		for _, route := range status.Routes {
			fmt.Fprintf(table, "  route %s\t\t%d of %d failed\told: %d of %d\tfirst byte of old: %v\t\t\tagainst it: failures %.2f, first bytes %.2f, responses %.2f\t\n",
				route.Route, route.Failed, route.Ended, route.OldFailed, route.OldEnded, milliseconds(route.OldFirstByteMS), route.Failures, route.SlowFirst, route.SlowWhole)
		}
	}
	return table.Flush()
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
