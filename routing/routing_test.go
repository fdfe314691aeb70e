package routing_test

import (
	"slices"
	"testing"

	"github.com/thymewind/thymewind/routing"
)

func table() *routing.Table {
	return routing.New(3, []*routing.Route{
		{Name: "root", Host: "a.example", Prefix: "/", Shares: []routing.Share{{Pool: "p", Weight: 1}}, Priority: 2},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: []routing.Share{{Pool: "p", Weight: 1}}, Priority: 0},
		{Name: "short", Host: "A.example", Prefix: "/x/", Shares: []routing.Share{{Pool: "q", Weight: 1}}, Priority: 1, Open: true},
		{Name: "open", Host: "c.example", Prefix: "/open", Shares: []routing.Share{{Pool: "p", Weight: 1}}},
		{Name: "closed", Host: "c.example", Prefix: "/open/slash/", Shares: []routing.Share{{Pool: "p", Weight: 1}}},
	}, []*routing.Pool{{Name: "p"}, {Name: "q"}}, []*routing.Account{{Name: "cafe", Keys: []string{"k1", "k2"}, Priority: 1, HasPriority: true}})
}

func TestRoute(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/z", "short"},
		{"a.example", "/", "root"},
		{"b.example", "/x/y/z", ""},
		{"a.example", "", ""},
		{"a.example", "no-slash", ""},
		{"a.example", "//x/y/", "root"},
		{"c.example", "/open/y", "open"},
		{"c.example", "/open-ended", "open"},
		{"c.example", "/open/slash/z", "closed"},
		{"c.example", "/ope", ""},
	}
	for _, tt := range tests {
		got := ""
		if r := table().Route(tt.host, tt.path); r != nil {
			got = r.Name
		}
		if got != tt.want {
			t.Errorf("Route(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestAccount(t *testing.T) {
	x := table()
	if a, known := x.Account("k2"); !known || a.Name != "cafe" {
		t.Errorf("Account = %v, %v", a, known)
	}
	if _, known := x.Account("K2"); known {
		t.Error("a key was found by another case")
	}
	long, short := x.Route("a.example", "/x/y/"), x.Route("a.example", "/x/")
	if !x.NeedsKey(long) || x.NeedsKey(short) {
		t.Error("open routes need no key, others do")
	}
	if routing.New(1, nil, nil, nil).NeedsKey(long) {
		t.Error("without accounts no route needs a key")
	}
}

func TestPick(t *testing.T) {
	r := &routing.Route{Shares: []routing.Share{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "none", Weight: 0}}}
	counts := make(map[string]int)
	for i := range uint64(1000) {
		counts[r.Pick(i)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["none"] != 0 {
		t.Errorf("counts %v", counts)
	}
}

func TestPriority(t *testing.T) {
	x := table()
	a, _ := x.Account("k1")
	r := x.Route("a.example", "/x/y/")
	if got := routing.Priority(r, a); got != 1 {
		t.Errorf("priority %d, want the account's, which goes before the route's", got)
	}
	if got := routing.Priority(r, nil); got != 0 {
		t.Errorf("priority %d without an account, want the route's", got)
	}
	if p, q := x.LowestPriority("p"), x.LowestPriority("q"); p != 2 || q != 1 {
		t.Errorf("lowest priorities %d and %d", p, q)
	}
}

// TestAccountNames guards against accounts with several keys that are listed several times.
func TestAccountNames(t *testing.T) {
	table := routing.New(1, nil, nil, []*routing.Account{{Name: "b", Keys: []string{"1", "2"}}, {Name: "a", Keys: []string{"3"}}})
	if got := table.AccountNames(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("accounts %v", got)
	}
}
