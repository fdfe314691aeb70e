package query_test

import (
	"strings"
	"testing"

	"github.com/thymewind/thymewind/query"
)

func TestParse(t *testing.T) {
	tests := []struct {
		text  string
		check func(query.Statement) bool
	}{
		{`show targets where pool = "menu" and load > 3 last 5`, func(s query.Statement) bool {
			return s.Show.Thing == "targets" && len(s.Show.Where) == 2 && s.Show.Where[1].Sign == ">" && s.Show.Last == 5
		}},
		{`why request 01M8VAP198AERJ86WZD4NH1CB7`, func(s query.Statement) bool { return *s.Why == "01M8VAP198AERJ86WZD4NH1CB7" }},
		{`who holds lease orders/menu`, func(s query.Statement) bool { return *s.Who == "orders/menu" }},
		{`change pool menu set weights = "v7", policy.link = 2.5 if revision = 41`, func(s query.Statement) bool {
			e := s.Change
			return e.Kind == "pool" && e.Set[0].JSON() == `"v7"` && e.Set[1].Field == "policy.link" && e.Set[1].JSON() == "2.5" && e.IfRevision == 41
		}},
		{`create account a set pools = [menu, "orders"], weight = 2`, func(s query.Statement) bool {
			return s.Create.Set[0].JSON() == `["menu","orders"]` && s.Create.Set[1].JSON() == "2"
		}},
		{`change pool p set stores = true`, func(s query.Statement) bool { return s.Change.Set[0].JSON() == "true" }},
		{`remove model m`, func(s query.Statement) bool { return s.Remove.Name == "m" }},
		{`roll pool menu to v8`, func(s query.Statement) bool { return s.Roll.Version == "v8" }},
		{`leave target engine-1`, func(s query.Statement) bool { return *s.Leave == "engine-1" }},
		{`help`, func(s query.Statement) bool { return s.Help }},
	}
	for _, tt := range tests {
		t.Run(tt.text, func(t *testing.T) {
			s, err := query.Parse(tt.text)
			if err != nil || !tt.check(s) {
				t.Errorf("Parse = %+v, %v", s, err)
			}
		})
	}
}

func TestErrors(t *testing.T) {
	tests := []struct{ text, want string }{
		{"", "column 1"},
		{"shwo targets", `did you mean "show"?`},
		{"show targets where load >", "column 26"},
		{"change zone a set x = 1", "column 8"},
		{"show targets; drop", "column 13"},
		{strings.Repeat("show ", 20000), "bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			if _, err := query.Parse(tt.text); err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("Parse = %v, want %q", err, tt.want)
			}
		})
	}
}

// FuzzParse checks that no statement crashes the parser.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{`show targets where a = "b" last 3`, `change pool p set a.b = [1, "x"] if revision = 9`, `"\`, "show \x00", "why request 99999999999999999999999999", "show x last 99999999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, text string) { _, _ = query.Parse(text) })
}
