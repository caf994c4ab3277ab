// Testjudge reads the output of "go test -json" and decides whether a change may
// land: every test passes but for those that KNOWN-RED.txt lists, and these fail.
// It prints the listed ones with their outcome, and the output of the others that
// fail.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

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

// run returns an error with a line for each reason why the change may not land.
func run(knownRedPath string, in io.Reader, out io.Writer) error {
	listed, err := readKnownRed(knownRedPath)
	if err != nil {
		return err
	}
	r, err := readEvents(in, out)
	if err != nil {
		return err
	}
	problems := slices.Concat(judgeKnownRed(listed, r, out), judgeTests(listed, r, out), judgePackages(r, out))
	passed, failed := r.count("pass"), r.count("fail")
	fmt.Fprintf(out, "%d passed, %d failed\n", passed, failed)
	if passed == 0 {
		problems = append(problems, "no test passed")
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return errors.New(strings.Join(problems, "\n"))
}

// judgeKnownRed returns the listed tests that do not fail.
func judgeKnownRed(listed []knownRed, r results, out io.Writer) []string {
	var problems []string
	for _, red := range listed {
		outcome := r.outcomes[red.test]
		if outcome == "" {
			outcome = "not there"
		}
		fmt.Fprintf(out, "known red: %s: %s (%s; %s; issue %s)\n", red.test, outcome, red.seen, red.command, red.issue)
		if outcome != "fail" {
			problems = append(problems, fmt.Sprintf("%s is listed as known red and is: %s", red.test, outcome))
		}
	}
	return problems
}

// judgeTests returns the tests that fail and are not listed.
func judgeTests(listed []knownRed, r results, out io.Writer) []string {
	var problems []string
	for name, outcome := range r.outcomes {
		isListed := slices.ContainsFunc(listed, func(red knownRed) bool { return red.test == name })
		if outcome == "fail" && !isListed {
			problems = append(problems, name+" fails")
			fmt.Fprint(out, strings.Join(r.output[name], ""))
		}
	}
	return problems
}

// judgePackages returns the packages whose failure no failed test explains: those
// that do not build, and those whose binary crashed.
func judgePackages(r results, out io.Writer) []string {
	withFailedTest := map[string]bool{}
	for name, outcome := range r.outcomes {
		if outcome == "fail" {
			withFailedTest[name[:strings.LastIndexByte(name, '.')]] = true
		}
	}
	var problems []string
	for name := range r.failed {
		if !withFailedTest[name] || r.crashed[name] {
			problems = append(problems, "package "+name+" fails as a whole")
			fmt.Fprint(out, strings.Join(r.output[name+"."], ""))
		}
	}
	return problems
}

// count returns how many tests have the outcome.
func (r results) count(outcome string) int {
	count := 0
	for _, other := range r.outcomes {
		if other == outcome {
			count++
		}
	}
	return count
}
