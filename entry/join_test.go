package entry

import (
	"context"
	"fmt"
	"testing"

	"github.com/thymewind/thymewind/table"
)

// TestJoin lists what a box writes when it starts: its row unless that is stored with the same
// value, and the credential if there is none and the box is chosen to write it.
func TestJoin(t *testing.T) {
	credential := table.Row{Key: credentialKey, Value: []byte(`"x"`)}
	tests := []struct {
		name   string
		rows   func(own table.Row) []table.Row
		chosen bool
		writes []string
	}{
		{"the first box", func(table.Row) []table.Row { return nil }, true, []string{"member/box-1", credentialKey}},
		{"one of many that start at once", func(table.Row) []table.Row { return nil }, false, []string{"member/box-1"}},
		{"a new box", func(table.Row) []table.Row { return []table.Row{credential} }, true, []string{"member/box-1"}},
		{"known before", func(own table.Row) []table.Row { return []table.Row{own, credential} }, true, nil},
		{"known before at another address", func(own table.Row) []table.Row {
			return []table.Row{{Key: own.Key, Value: []byte(`{}`)}, credential}
		}, true, []string{"member/box-1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var writes []string
			d := newDaemon("box-1")
			d.oneIn = func(int) bool { return tt.chosen }
			d.Platform.Commit = func(_ context.Context, tx table.Transaction) error {
				writes = append(writes, tx.Put[0].Key)
				return nil
			}
			d.join(t.Context(), tt.rows(d.ownRow()))
			if fmt.Sprint(writes) != fmt.Sprint(tt.writes) {
				t.Errorf("writes %v, want %v", writes, tt.writes)
			}
		})
	}
}

// TestNewBoxKnowsItsRole shows that a box that joins a large fleet becomes a spoke at once if
// the rows show stronger boxes in its domain, and otherwise waits for the rows of boxes that
// start with it.
func TestNewBoxKnowsItsRole(t *testing.T) {
	row := func(i int, domain string, share float64) table.Row {
		return table.Row{
			Key:   fmt.Sprintf("member/box-%02d", i),
			Value: fmt.Appendf(nil, `{"peers":"10.0.0.%d:1","domain":%q,"share":%v,"megabits":20}`, i+1, domain, share),
		}
	}
	fleet := func(n int, domain string, strong int) []table.Row {
		var rows []table.Row
		for i := range n {
			share := 0.2
			if i < strong {
				share = 0.8
			}
			rows = append(rows, row(i, domain, share))
		}
		return rows
	}
	tests := []struct {
		name  string
		rows  []table.Row
		spoke bool
	}{
		{"first box", nil, false},
		{"a small fleet", fleet(6, "a", 2), false},
		{"a large fleet with hubs", fleet(20, "a", 2), true},
		{"a large fleet, one hub known", fleet(20, "a", 1), true}, // A second hub may come; it is not this box.
		{"a large fleet of another domain", fleet(20, "b", 2), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("box-99")
			d.Settings.Domain = "a"
			d.update(start, ownRead{OwnRows{Rows: append(tt.rows, row(99, "a", 0.2)), Known: rev(7), Snapshot: true}, false})
			if got := d.spoke.Load(); got != tt.spoke || d.roleUnknown.Load() == tt.spoke {
				t.Errorf("spoke %v, want %v; waits %v", got, tt.spoke, d.roleUnknown.Load())
			}
		})
	}
}
