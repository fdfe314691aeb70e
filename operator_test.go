package thymewind

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/report"
	"github.com/thymewind/thymewind/settings"
)

// runStatement runs one statement at a daemon.
func (f *fleet) runStatement(daemon int, statement string) report.Report {
	body, err := json.Marshal(struct {
		Statement string `json:"statement"`
	}{statement})
	if err != nil {
		f.t.Fatal(err)
	}
	return f.daemons[daemon].d.statement(context.Background(), "ana", body)
}

func TestStatements(t *testing.T) {
	f := newFleet(t, 2, nil)
	_, _, r := f.chat(0, "menu key", "what is left tonight", 3)
	request := r.header.Get("X-Request-Id")
	for _, x := range listings {
		if got := f.runStatement(1, "show "+x.thing); got.Error != "" {
			t.Errorf("show %s: %s", x.thing, got.Error)
		}
	}
	tests := []struct {
		statement string
		// rows is the least number of rows wanted, error a part of the refusal.
		rows  int
		error string
		// accepted is set if the statement makes a revision.
		accepted bool
	}{
		{statement: `why request ` + request, rows: 2},
		{statement: `show targets where pool = menu`, rows: 3},
		{statement: `show targts`, error: `did you mean "targets"?`},
		{statement: `show targets where size = 1`, error: "there is no column"},
		{statement: `create account new set weight = 3, add_key = "sk-new"`, accepted: true},
		{statement: `create account new`, error: "exists already"},
		{statement: `change account nobody set weight = 3`, error: "there is no account"},
		{statement: `change account new set wieght = 3`, error: "unknown field"},
		{statement: `change account new set weight = 0`, error: "weight must be at least 1"},
		{statement: `change account new set weight = 4 if revision = 1`, error: "2 is in force"},
		{statement: `change account new set weight = 4 if revision = 2`, accepted: true},
		{statement: `change pool menu set policy.link = 3`, accepted: true},
		{statement: `remove pool menu`, error: "no pool of kind"},
		{statement: `remove account new`, accepted: true},
		{statement: `show audit last 2`, rows: 2},
		{statement: `show refusals where actor = ana`, rows: 2},
		{statement: `who holds lease nothing`, error: "no row"},
		{statement: `leave target nothing`, error: "there is no target"},
		{statement: `leave target engine-1`, accepted: true},
		{statement: `leave target engine-1`, error: "is so already"},
		{statement: `leave target engine-2`, accepted: true},
		{statement: `return target engine-2`, accepted: true},
	}
	for _, tt := range tests {
		t.Run(tt.statement, func(t *testing.T) {
			got := f.runStatement(0, tt.statement)
			if len(got.Rows) < tt.rows || (got.Revision > 0) != tt.accepted || (got.Error != "") != (tt.error != "") || !strings.Contains(got.Error, tt.error) {
				t.Errorf("got %+v", got)
			}
		})
	}
	f.eventually("the other daemon sends engine-1 nothing new", func() bool {
		return slices.Contains(f.daemons[1].d.currentOrEmpty().Pools["menu"].Leaving, "engine-1")
	})
	before := len(f.runs("engine-1"))
	for i := range 20 {
		f.chat(1, "menu key", fmt.Sprint("somewhere else, request ", i), 1)
	}
	if after := len(f.runs("engine-1")); after != before {
		t.Errorf("engine-1 got %d new runs", after-before)
	}
	for _, row := range f.runStatement(0, "show audit").Rows {
		if strings.Contains(fmt.Sprint(row), "sk-new") {
			t.Error("the audit trail contains an API key")
		}
	}
}

// TestConcurrentOperatorChanges has two operators change the same revision at two
// daemons while the platform loses answers. At most one change is accepted.
func TestConcurrentOperatorChanges(t *testing.T) {
	f := newFleet(t, 2, nil)
	f.faults["platform"].Set(fault.State{Lose: 0.3})
	defer f.faults["platform"].Set(fault.State{})
	for round := range 5 {
		revision := max(f.daemons[0].d.currentOrEmpty().Revision, f.daemons[1].d.currentOrEmpty().Revision)
		answers := make(chan report.Report, 2)
		for i := range 2 {
			go func() {
				answers <- f.runStatement(i, fmt.Sprintf("change account menu-app set weight = %d if revision = %d", 10*round+i+1, revision))
			}()
		}
		one, two := <-answers, <-answers
		if one.Revision > 0 && two.Revision > 0 {
			t.Fatalf("both were accepted: %+v and %+v", one, two)
		}
		accepted := max(one.Revision, two.Revision)
		f.eventually("the accepted revision is in force on both", func() bool {
			return f.daemons[0].d.currentOrEmpty().Revision >= accepted && f.daemons[1].d.currentOrEmpty().Revision >= accepted
		})
	}
}

func TestOperatorsNeedACredential(t *testing.T) {
	sum := sha256.Sum256([]byte("the operator's"))
	d := newDaemon(t)
	d.Settings.OperatorCredentials = []settings.Operator{{Name: "ana", SHA256: hex.EncodeToString(sum[:])}}
	handler := d.operator(func(_ context.Context, name string, _ []byte) report.Report { return report.Report{Text: name} })
	tests := []struct {
		header string
		status int
	}{
		{"Bearer the operator's", http.StatusOK},
		{"Bearer another", http.StatusUnauthorized},
		{"Bearer ", http.StatusUnauthorized},
		{"the operator's", http.StatusUnauthorized},
		{"", http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.header, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, "/v1/query", nil)
			request.Header.Set("Authorization", tt.header)
			recorder := httptest.NewRecorder()
			handler(recorder, request)
			if recorder.Code != tt.status {
				t.Errorf("status %d, want %d", recorder.Code, tt.status)
			}
		})
	}
}
