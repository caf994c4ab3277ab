package proxy

import (
	"net/http"
	"strings"
)

// invalidTargetReason returns what is wrong with a request's target, "" where it is
// well formed. Runners get the target as it is, so routes must be matched by it
// as it is.
func invalidTargetReason(req *http.Request) string {
	target := req.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if req.Method == http.MethodConnect || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return "the target is no path"
	}
	if strings.ContainsFunc(target, forbiddenInTarget) {
		return "the target has letters that none can have"
	}
	if hasDotSegments(path) {
		return "the target's path is not resolved"
	}
	return ""
}

func forbiddenInTarget(char rune) bool {
	return char <= ' ' || char == 0x7f || char == '#' || char == '\\'
}

var dotDecoder = strings.NewReplacer("%2e", ".", "%2E", ".")

// hasDotSegments returns whether a path has a segment "." or "..", in either
// spelling: behind a route's prefix it would reach what another route is for.
func hasDotSegments(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "/%2") {
		return false
	}
	for _, segment := range strings.Split(path, "/") {
		if segment = dotDecoder.Replace(segment); segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
