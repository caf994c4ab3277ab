package proxy

import (
	"net/http"
	"strings"
)

// invalidTargetReason returns why a request's target is rejected, or "" if it is
// valid. Targets are forwarded to runners unchanged and routes are matched by the
// unchanged target, so targets that a runner might normalize are rejected.
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

// forbiddenInTarget reports whether a character must not occur in a target:
// controls and the space, "#" and "\".
func forbiddenInTarget(char rune) bool {
	return char <= ' ' || char == 0x7f || char == '#' || char == '\\'
}

// dotDecoder decodes percent-encoded dots.
var dotDecoder = strings.NewReplacer("%2e", ".", "%2E", ".")

// hasDotSegments reports whether a path has a segment "." or "..", percent-encoded
// or not. A path with the prefix of one route could use it to reach the resources
// of another.
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
