// Testjudge reads what "go test -json" prints and decides whether a change may
// land: every test passes but for those that KNOWN-RED.txt lists, and these
// fail. It prints the listed ones with their state, and hides nothing.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxKnownRed is how many known red tests there may be.
const maxKnownRed = 3

// knownRed is a line of KNOWN-RED.txt: TEST | cause | issue, the test as
// PACKAGE.NAME.
type knownRed struct {
	test, cause, issue string
}

// event is a line of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results are the outcomes of the top-level tests, by PACKAGE.NAME.
type results struct {
	outcomes map[string]string
	output   map[string][]string
	// packages that failed, and those whose binary broke off.
	failed, crashed map[string]bool
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | testjudge KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "testjudge: %v\n", err)
		os.Exit(1)
	}
}

func run(path string, in io.Reader, out io.Writer) error {
	listed, err := readKnownRed(path)
	if err != nil {
		return err
	}
	seen, err := readEvents(in, out)
	if err != nil {
		return err
	}
	return judge(listed, seen, out)
}

// readKnownRed reads the list; a file that is not there is an empty one.
func readKnownRed(path string) ([]knownRed, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var listed []knownRed
	for number, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		parts := strings.Split(line, "|")
		for index := range parts {
			parts[index] = strings.TrimSpace(parts[index])
		}
		if len(parts) != 3 || slices.Contains(parts, "") {
			return nil, fmt.Errorf("%s, line %d: TEST | cause | issue is wanted", path, number+1)
		}
		listed = append(listed, knownRed{test: parts[0], cause: parts[1], issue: parts[2]})
	}
	if len(listed) > maxKnownRed {
		return nil, fmt.Errorf("%s: %d tests, %d at the most", path, len(listed), maxKnownRed)
	}
	return listed, nil
}

func readEvents(in io.Reader, out io.Writer) (results, error) {
	seen := results{outcomes: map[string]string{}, output: map[string][]string{}, failed: map[string]bool{}, crashed: map[string]bool{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var next event
		if json.Unmarshal(lines.Bytes(), &next) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		seen.add(next, out)
	}
	return seen, lines.Err()
}

func (r results) add(next event, out io.Writer) {
	top, _, _ := strings.Cut(next.Test, "/")
	name := next.Package + "." + top
	switch {
	case next.Action == "output" || next.Action == "build-output":
		r.output[name] = append(r.output[name], next.Output)
		if strings.HasPrefix(next.Output, "panic:") || strings.HasPrefix(next.Output, "fatal error:") {
			r.crashed[next.Package] = true
		}
		// A package's own closing line, as "go test" prints it.
		if next.Test == "" && (strings.HasPrefix(next.Output, "ok ") || strings.HasPrefix(next.Output, "?") || strings.HasPrefix(next.Output, "FAIL")) {
			fmt.Fprint(out, next.Output)
		}
	case next.Action == "fail" && next.Test == "":
		r.failed[next.Package] = true
	case next.Test == top && (next.Action == "pass" || next.Action == "fail" || next.Action == "skip"):
		r.outcomes[name] = next.Action
	}
}

func judge(listed []knownRed, seen results, out io.Writer) error {
	var wrong []string
	expected := map[string]bool{}
	for _, red := range listed {
		expected[red.test] = true
		outcome := seen.outcomes[red.test]
		if outcome == "" {
			outcome = "not there"
		}
		fmt.Fprintf(out, "known red: %s: %s (%s; issue %s)\n", red.test, outcome, red.cause, red.issue)
		if outcome != "fail" {
			wrong = append(wrong, fmt.Sprintf("%s is listed as known red and is: %s", red.test, outcome))
		}
	}
	passed, failed := 0, 0
	explained := map[string]bool{}
	for name, outcome := range seen.outcomes {
		switch outcome {
		case "pass":
			passed++
		case "fail":
			failed++
			explained[name[:strings.LastIndexByte(name, '.')]] = true
			if !expected[name] {
				wrong = append(wrong, name+" fails")
				fmt.Fprint(out, strings.Join(seen.output[name], ""))
			}
		}
	}
	for name := range seen.failed {
		if !explained[name] || seen.crashed[name] {
			wrong = append(wrong, "package "+name+" fails as a whole")
			fmt.Fprint(out, strings.Join(seen.output[name+"."], ""))
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", passed, failed)
	if passed == 0 {
		wrong = append(wrong, "no test passed")
	}
	if len(wrong) > 0 {
		slices.Sort(wrong)
		return errors.New(strings.Join(wrong, "\n"))
	}
	return nil
}
