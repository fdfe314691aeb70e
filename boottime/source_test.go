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

// forbidden are the calls whose result, or whose end, is wrong after a suspension, as
// they use the runtime's monotonic clock.
var forbidden = []string{"time.Now", "time.Since", "time.Until", "context.WithDeadline"}

// exceptions are the functions that may use them, and why.
var exceptions = []struct{ file, function, why string }{
	{"boottime/boottime.go", "runtime", "implements the clock"},
	{"caller/writer.go", "event", "a connection's deadline uses the runtime's clock"},
	{"deliver/admit.go", "readBody", "a connection's deadline uses the runtime's clock"},
	{"intake/body.go", "setReadTimeout", "a connection's deadline uses the runtime's clock"},
	{"duty.go", "order", "sends engines a wall clock time"},
	{"decision/decision.go", "Add", "shows people a wall clock time"},
	{"target/queue.go", "started", "a reference; the times compared with it come from the caller"},
	{"platform/store/call.go", "do", "measures response times, without suspensions"},
	{"platform/replica/events.go", "cacheEventsOnce", "measures response times, without suspensions"},
	{"peer/link.go", "register", "measures response times, without suspensions"},
	{"peer/link.go", "checkSilence", "measures response times, without suspensions"},
	{"peer/link.go", "noteReceived", "measures response times, without suspensions"},
	{"peer/link.go", "read", "measures response times, without suspensions"},
}

// inDaemon reports whether a folder holds code of the daemons.
func inDaemon(path string) bool {
	for _, other := range []string{"internal", "examples", "cmd/standin", "cmd/thymeload", "cmd/thymemeasure", "cmd/thymectl", "platform/standin", "platform/soak"} {
		if path == other || strings.HasPrefix(path, other+"/") {
			return false
		}
	}
	return true
}

// TestNoRuntimeClock parses the daemons' sources and guards against ages, leases and
// deadlines that stop while the machine is suspended.
func TestNoRuntimeClock(t *testing.T) {
	used := make(map[int]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		name, _ := strings.CutPrefix(filepath.ToSlash(path), "../")
		if err != nil || !inDaemon(name) || strings.HasPrefix(entry.Name(), ".") && len(entry.Name()) > 2 {
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
			at := slices.IndexFunc(exceptions, func(m struct{ file, function, why string }) bool {
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
	for i, m := range exceptions {
		if !used[i] {
			t.Errorf("%s: %s no longer needs an exception", m.file, m.function)
		}
	}
}

// use is a use of a forbidden function.
type use struct{ function, call string }

// uses lists the uses, also where such a function is only named.
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
			if ok && slices.Contains(forbidden, from.Name+"."+selector.Sel.Name) {
				list = append(list, use{name, from.Name + "." + selector.Sel.Name})
			}
			return true
		})
	}
	return list
}
