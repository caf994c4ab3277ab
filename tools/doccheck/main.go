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
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	inlineCode           = regexp.MustCompile("`([^`\n]+)`")
	linkPattern          = regexp.MustCompile(`\]\(([^)#\s]+)[^)]*\)`)
	repoPathPattern      = regexp.MustCompile(`^(base|cmd|control|data|deploy|deployment|docs|emulator|replay|simulation|soak|tools)(/[A-Za-z0-9_.-]+)+/?$`)
	qualifiedNamePattern = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Z]\w*)(\.([A-Za-z]\w*))?(\(.*\))?$`)
	testNamePattern      = regexp.MustCompile(`^(Test|Fuzz|Benchmark|Example)[A-Z]\w*$`)
	fencedBlock          = regexp.MustCompile("(?ms)^```.*?^```")
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

// check reads the pages below root and gives what is wrong, a line each.
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
		past := slices.ContainsFunc(history, func(known string) bool {
			return known != "" && strings.HasPrefix(page, known)
		})
		for _, problem := range checkPage(root, page, string(text), names, past) {
			problems = append(problems, page+": "+problem)
		}
	}
	return problems, nil
}

func checkPage(root string, page string, text string, names packageNames, past bool) []string {
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
	if past {
		return problems
	}
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

// packageNames are the top-level names of packages by the last element of their
// paths, which several packages may share; members are TYPE.MEMBER.
type packageNames map[string]map[string]bool

// anyPackage holds the functions of all packages; no package has this name.
const anyPackage = "*"

// problem says what is wrong with a qualified name; "" if nothing, also for what
// is no name of a package of this module.
func (p packageNames) problem(code string) string {
	if testNamePattern.MatchString(code) && !p[anyPackage][code] {
		return "names " + code + ", but there is no such test"
	}
	parts := qualifiedNamePattern.FindStringSubmatch(code)
	if parts == nil || p[parts[1]] == nil {
		return ""
	}
	name := parts[2]
	if !p[parts[1]][name] {
		return fmt.Sprintf("names %s, but package %s has no %s", code, parts[1], name)
	}
	if member := parts[4]; member != "" && !p[parts[1]][name+"."+member] {
		return fmt.Sprintf("names %s, but %s.%s has no %s", code, parts[1], name, member)
	}
	return ""
}

func readPackages(root string) (packageNames, error) {
	names := packageNames{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (strings.HasPrefix(entry.Name(), ".") && path != root || entry.Name() == "testdata" || entry.Name() == "target") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names.add(filepath.Base(filepath.Dir(path)), file)
		return nil
	})
	return names, err
}

func (p packageNames) add(name string, file *ast.File) {
	for _, key := range []string{name, anyPackage} {
		if p[key] == nil {
			p[key] = map[string]bool{}
		}
	}
	known := p[name]
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv == nil {
				known[declaration.Name.Name] = true
				p[anyPackage][declaration.Name.Name] = true
			} else {
				known[receiverType(declaration)+"."+declaration.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(known, spec)
			}
		}
	}
}

func receiverType(function *ast.FuncDecl) string {
	expression := function.Recv.List[0].Type
	for {
		switch inner := expression.(type) {
		case *ast.StarExpr:
			expression = inner.X
		case *ast.IndexExpr:
			expression = inner.X
		case *ast.IndexListExpr:
			expression = inner.X
		case *ast.Ident:
			return inner.Name
		default:
			return ""
		}
	}
}

func addSpec(known map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			known[name.Name] = true
		}
	case *ast.TypeSpec:
		known[spec.Name.Name] = true
		var fields *ast.FieldList
		switch kind := spec.Type.(type) {
		case *ast.StructType:
			fields = kind.Fields
		case *ast.InterfaceType:
			fields = kind.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				known[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}
