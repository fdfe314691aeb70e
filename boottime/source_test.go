package boottime_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// stills are the calls whose result, or whose end, a machine that was suspended gets
// wrong: its steady clock stood still.
var stills = []string{"time.Now", "time.Since", "time.Until", "context.WithDeadline"}

// measuring are the functions that may use them, with why.
var measuring = []struct{ file, function, why string }{
	{"boottime/boottime.go", "runtime", "it is the clock's own reading"},
	{"caller/answer.go", "event", "a connection's deadline is by the runtime's clock"},
	{"deliver/admit.go", "read", "a connection's deadline is by the runtime's clock"},
	{"duty.go", "order", "engines are told a time of day"},
	{"decision/decision.go", "Add", "people are told a time of day"},
	{"target/queue.go", "started", "an origin; what is counted from it comes from the caller"},
	{"platform/store/call.go", "do", "how long an answer took, while awake, is learnt"},
	{"platform/replica/news.go", "events", "how long an answer took, while awake, is learnt"},
	{"peer/link.go", "expect", "how long an answer took, while awake, is learnt"},
	{"peer/link.go", "doubt", "how long an answer took, while awake, is learnt"},
	{"peer/link.go", "heard", "how long an answer took, while awake, is learnt"},
	{"peer/link.go", "read", "how long an answer took, while awake, is learnt"},
}

// daemons says whether a folder holds code of the daemons.
func daemons(path string) bool {
	for _, other := range []string{"internal", "examples", "cmd/standin", "cmd/thymeload", "cmd/thymemeasure", "cmd/thymectl", "platform/standin", "platform/soak"} {
		if path == other || strings.HasPrefix(path, other+"/") {
			return false
		}
	}
	return true
}

// TestNoStillClock reads the daemons' sources: none of their ages, leases and deadlines
// goes by a clock that stands still while the machine is suspended.
func TestNoStillClock(t *testing.T) {
	used := make(map[int]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		name, _ := strings.CutPrefix(filepath.ToSlash(path), "../")
		if err != nil || !daemons(name) || strings.HasPrefix(entry.Name(), ".") && len(entry.Name()) > 2 {
			if entry.IsDir() {
				return filepath.SkipDir
			}
			return err
		}
		if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		for _, found := range uses(file) {
			at := slices.IndexFunc(measuring, func(m struct{ file, function, why string }) bool {
				return m.file == name && m.function == found.function
			})
			if at < 0 {
				t.Errorf("%s: %s uses %s", name, found.function, found.call)
			}
			used[at] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, m := range measuring {
		if !used[i] {
			t.Errorf("%s: %s needs no exception any more", m.file, m.function)
		}
	}
}

// use is a call of one of stills.
type use struct{ function, call string }

// uses lists them, also where such a function is only named.
func uses(file *ast.File) []use {
	var list []use
	for _, declared := range file.Decls {
		name := ""
		switch d := declared.(type) {
		case *ast.FuncDecl:
			name = d.Name.Name
		case *ast.GenDecl:
			if len(d.Specs) > 0 {
				if v, ok := d.Specs[0].(*ast.ValueSpec); ok {
					name = v.Names[0].Name
				}
			}
		}
		ast.Inspect(declared, func(n ast.Node) bool {
			selector, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			from, ok := selector.X.(*ast.Ident)
			if ok && slices.Contains(stills, from.Name+"."+selector.Sel.Name) {
				list = append(list, use{name, from.Name + "." + selector.Sel.Name})
			}
			return true
		})
	}
	return list
}
