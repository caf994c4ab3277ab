package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	qualifiedNamePattern = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Z]\w*)(\.([A-Za-z]\w*))?(\(.*\))?$`)
	testNamePattern      = regexp.MustCompile(`^(Test|Fuzz|Benchmark|Example)[A-Z]\w*$`)
)

// packageNames are the top-level names of packages by the last element of their
// paths, which several packages may share; members are TYPE.MEMBER.
type packageNames map[string]map[string]bool

// anyPackage holds the functions of all packages; no package has this name.
const anyPackage = "*"

// problem returns what is wrong with a qualified name, or with the name of a
// test; "" for what is declared, and for what names no package of this module.
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

// readPackages parses all Go files below root, hidden folders, testdata and target
// left out.
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

// add records the declarations of a file of the named package.
func (p packageNames) add(name string, file *ast.File) {
	for _, key := range []string{name, anyPackage} {
		if p[key] == nil {
			p[key] = map[string]bool{}
		}
	}
	declared := p[name]
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Recv == nil {
				declared[declaration.Name.Name] = true
				p[anyPackage][declaration.Name.Name] = true
			} else {
				declared[receiverType(declaration)+"."+declaration.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				addSpec(declared, spec)
			}
		}
	}
}

// receiverType returns the name of a method's receiver type.
func receiverType(method *ast.FuncDecl) string {
	expression := method.Recv.List[0].Type
	for {
		switch operand := expression.(type) {
		case *ast.StarExpr:
			expression = operand.X
		case *ast.IndexExpr:
			expression = operand.X
		case *ast.IndexListExpr:
			expression = operand.X
		case *ast.Ident:
			return operand.Name
		default:
			return ""
		}
	}
}

// addSpec records constants, variables, and types with their fields or methods.
func addSpec(declared map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[spec.Name.Name] = true
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
				declared[spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}
