package main

import (
	"errors"
	"fmt"
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

// readKnownRed reads the list; a file that does not exist is an empty one.
func readKnownRed(path string) ([]knownRed, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var listed []knownRed
	for index, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		fields := strings.Split(line, "|")
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		if len(fields) != 3 || slices.Contains(fields, "") {
			return nil, fmt.Errorf("%s, line %d: TEST | cause | issue is wanted", path, index+1)
		}
		listed = append(listed, knownRed{test: fields[0], cause: fields[1], issue: fields[2]})
	}
	if len(listed) > maxKnownRed {
		return nil, fmt.Errorf("%s: %d tests, %d at the most", path, len(listed), maxKnownRed)
	}
	return listed, nil
}
