// Doccheck reads the project's pages and fails where one names a file, folder,
// package or exported name of the code that is not there.
//
// It checks what stands between backquotes and in links: paths from the root of
// the repository, and names of the form package.Name or package.Type.Member of
// packages of this module. Pages that tell of the past, and glossaries of earlier
// names, are given with -history: of these only the links are checked.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	inlineCode  = regexp.MustCompile("`([^`\n]+)`")
	fencedBlock = regexp.MustCompile("(?ms)^```.*?^```")
	linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)
	// repoPathPattern matches paths below the folders of the repository, also below
	// those that it once had.
	repoPathPattern = regexp.MustCompile(`^(base|cmd|control|data|deploy|deployment|docs|emulator|replay|simulation|soak|tools)(/[A-Za-z0-9_.-]+)+/?$`)
)

func main() {
	history := flag.String("history", "", "comma-separated pages and folders that may name what is gone")
	flag.Parse()
	problems, err := check(".", strings.Split(*history, ","), flag.Args())
	if err != nil {
		fmt.Fprintf(os.Stderr, "doccheck: %v\n", err)
		os.Exit(2)
	}
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, problem)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// check returns the problems of the pages, which are paths below root. Of a page
// whose path begins with a prefix in history only the links are checked.
func check(root string, history []string, pages []string) ([]string, error) {
	names, err := readPackages(root)
	if err != nil {
		return nil, err
	}
	var problems []string
	for _, page := range pages {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			return nil, err
		}
		onlyLinks := slices.ContainsFunc(history, func(prefix string) bool {
			return prefix != "" && strings.HasPrefix(page, prefix)
		})
		pageProblems := checkLinks(root, page, string(text))
		if !onlyLinks {
			pageProblems = append(pageProblems, checkNames(root, string(text), names)...)
		}
		for _, problem := range pageProblems {
			problems = append(problems, page+": "+problem)
		}
	}
	return problems, nil
}

// checkLinks returns the relative links of a page that lead nowhere.
func checkLinks(root string, page string, text string) []string {
	var problems []string
	for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
		target := match[1]
		if strings.Contains(target, "://") {
			continue
		}
		if !exists(filepath.Join(root, filepath.Dir(page), target)) {
			problems = append(problems, "links to "+target+", which is not there")
		}
	}
	return problems
}

// checkNames returns the paths and qualified names of a page that are not in the
// repository.
func checkNames(root string, text string, names packageNames) []string {
	var problems []string
	for _, match := range inlineCode.FindAllStringSubmatch(fencedBlock.ReplaceAllString(text, ""), -1) {
		code := match[1]
		if repoPathPattern.MatchString(code) && !exists(filepath.Join(root, code)) {
			problems = append(problems, "names "+code+", which is not there")
		}
		if problem := names.problem(code); problem != "" {
			problems = append(problems, problem)
		}
	}
	return problems
}

func exists(path string) bool {
	_, err := os.Stat(path)
	return err == nil
}
