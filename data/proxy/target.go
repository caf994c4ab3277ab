package proxy

import (
	"net/http"
	"strings"
)

// targetProblem tells what is wrong with a request's target; "" is nothing.
func targetProblem(request *http.Request) string {
	target := request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if request.Method == http.MethodConnect || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return "the target is no path"
	}
	if strings.IndexFunc(target, forbiddenInTarget) >= 0 {
		return "the target has letters that none can have"
	}
	if hasDotSegments(path) {
		return "the target's path is not resolved"
	}
	return ""
}

func forbiddenInTarget(letter rune) bool {
	return letter <= ' ' || letter == 0x7f || letter == '#' || letter == '\\'
}

var dotDecoder = strings.NewReplacer("%2e", ".", "%2E", ".")

// hasDotSegments tells whether a path has a step that leads up or nowhere, in either
// spelling: behind a prefix it would reach what another route is for.
func hasDotSegments(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "/%2") {
		return false
	}
	for _, step := range strings.Split(path, "/") {
		if step = dotDecoder.Replace(step); step == "." || step == ".." {
			return true
		}
	}
	return false
}
