package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// maxEventBytes is the length of the longest line that is read.
const maxEventBytes = 16 << 20

// event is a line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results are the outcomes of the top-level tests, by PACKAGE.NAME. The output of
// a package outside its tests stands under "PACKAGE.".
type results struct {
	outcomes map[string]string
	output   map[string][]string
	// failed are the packages that failed, crashed those whose binary panicked.
	failed, crashed map[string]bool
}

// readEvents reads all events. Lines that are none, and the line with which each
// package ends, are printed to out.
func readEvents(in io.Reader, out io.Writer) (results, error) {
	r := results{outcomes: map[string]string{}, output: map[string][]string{}, failed: map[string]bool{}, crashed: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var next event
		if json.Unmarshal(lines.Bytes(), &next) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		if next.closesPackage() {
			fmt.Fprint(out, next.Output)
		}
		r.add(next)
	}
	return r, lines.Err()
}

// closesPackage reports whether the event is the line with which "go test" ends a
// package.
func (e event) closesPackage() bool {
	return e.isOutput() && e.Test == "" &&
		(strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "?") || strings.HasPrefix(e.Output, "FAIL"))
}

func (e event) isOutput() bool { return e.Action == "output" || e.Action == "build-output" }

func (r results) add(next event) {
	topLevel, _, _ := strings.Cut(next.Test, "/")
	name := next.Package + "." + topLevel
	switch {
	case next.isOutput():
		r.output[name] = append(r.output[name], next.Output)
		if strings.HasPrefix(next.Output, "panic:") || strings.HasPrefix(next.Output, "fatal error:") {
			r.crashed[next.Package] = true
		}
	case next.Action == "fail" && next.Test == "":
		r.failed[next.Package] = true
	case next.Test == topLevel && (next.Action == "pass" || next.Action == "fail" || next.Action == "skip"):
		r.outcomes[name] = next.Action
	}
}
