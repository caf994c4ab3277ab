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
	"onyxwell/control/duty"
)

// partsFlags are those of the parts command.
type partsFlags struct {
	HandOver string `help:"Have this part be given to another controller, in order." placeholder:"PART"`
}

// partsStatus is what the command reads of GET /status.
type partsStatus struct {
	Duties *struct {
		Assigner string              `json:"assigner"`
		Parts    []duty.PartOverview `json:"parts"`
	} `json:"duties"`
}

// Decode implements httpcall.ResponseReader.
func (p *partsStatus) Decode(raw httpcall.RawResponse) error {
	return decodeOK(raw, p)
}

// run shows the parts of the duties at the platform, or hands one over.
func (p *partsFlags) run(node *settings.Settings) error {
	caller := newControllerCaller(node)
	if p.HandOver != "" {
		body, err := json.Marshal(map[string]string{"part": p.HandOver})
		if err != nil {
			return err
		}
		_, err = callController[acknowledgement](caller, request{Method: http.MethodPost, Path: "/parts", Body: body})
		return err
	}
	status, err := callController[partsStatus](caller, request{Method: http.MethodGet, Path: "/status"})
	if err != nil {
		return err
	}
	return status.print()
}

// print prints a row for each part.
func (p partsStatus) print() error {
	if p.Duties == nil {
		_, err := fmt.Println("the boot file asks for no duties")
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "PART\tHOLDER\tFENCE\tSINCE\tMOVES\tLAST ACT\tANSWER\n")
	for _, part := range p.Duties.Parts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%s\t%d\n", part.Part, part.Holder, part.Fence, instant(part.SinceUnixMS), part.Moves, instant(part.LastCallUnixMS), part.LastCallStatus)
	}
	return table.Flush()
}

// instant is a time of day in UTC, "-" where there is none.
func instant(unixMS int64) string {
	if unixMS <= 0 {
		return "-"
	}
	return time.UnixMilli(unixMS).UTC().Format(time.RFC3339)
}
