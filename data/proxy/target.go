package proxy

import (
	"net/http"
	"strings"
)

// oddTarget tells what is wrong with a request's target; "" is nothing.
func oddTarget(request *http.Request) string {
	target := request.RequestURI
	path, _, _ := strings.Cut(target, "?")
	if request.Method == http.MethodConnect || !strings.HasPrefix(path, "/") || strings.HasPrefix(path, "//") {
		return "the target is no path"
	}
	if strings.IndexFunc(target, unfit) >= 0 {
		return "the target has letters that none can have"
	}
	if climbs(path) {
		return "the target's path is not resolved"
	}
	return ""
}

func unfit(letter rune) bool {
	return letter <= ' ' || letter == 0x7f || letter == '#' || letter == '\\'
}

var dots = strings.NewReplacer("%2e", ".", "%2E", ".")

// climbs tells whether a path has a step that leads up or nowhere, in either
// spelling: behind a prefix it would reach what another route is for.
func climbs(path string) bool {
	if !strings.Contains(path, "/.") && !strings.Contains(path, "/%2") {
		return false
	}
	for _, step := range strings.Split(path, "/") {
		if step = dots.Replace(step); step == "." || step == ".." {
			return true
		}
	}
	return false
}
