package entry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"github.com/thymewind/thymewind/table"
)

// memberPrefix begins the keys of the boxes' rows. A box writes its own when it
// starts and nobody removes it: the rows tell how many share the work and
// where they are found, not who is alive.
const memberPrefix = "member/"

// keyCredential is the row of what the boxes show each other. The first box
// that starts draws it.
const keyCredential = "credential"

// memberRow is the value of a box's row.
type memberRow struct {
	Peers  netip.AddrPort `json:"peers"`
	Domain string         `json:"domain"`
	// Share is the box's part of a core, Megabits its link's speed a second.
	Share    float64 `json:"share"`
	Megabits float64 `json:"megabits"`
}

// join writes this box's row, and the credential if there is none yet.
func (d *Daemon) join(ctx context.Context) {
	value, err := json.Marshal(memberRow{d.Settings.Peers, d.Settings.Domain, d.Settings.Box.Share, d.Settings.Box.Megabits})
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	member := table.Row{Key: memberPrefix + d.Settings.Name, Value: value}
	for ctx.Err() == nil {
		err := d.write(ctx, member)
		if err == nil {
			err = d.draw(ctx)
		}
		if err == nil {
			return
		}
		d.Log.Warn("this box's row was not written; trying again", "err", err)
		d.pause(ctx, time.Second)
	}
}

// draw writes the credential unless there is one.
func (d *Daemon) draw(ctx context.Context) error {
	value, err := json.Marshal(ulid.Make().String())
	if err != nil {
		return trace.Wrap(err)
	}
	err = d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: keyCredential}},
		Put:    []table.Row{{Key: keyCredential, Value: value}},
	})
	if trace.IsCompareFailed(err) {
		return nil
	}
	return err
}

// memberRead takes over another box's row.
func (d *Daemon) memberRead(t *tables, name string, value []byte) {
	var row memberRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("a box's row can't be read", "box", name, "err", err)
	}
	if m, known := t.members[name]; known && m.at == row.Peers {
		return
	}
	d.Log.Info("box known", "name", name, "at", row.Peers)
	t.members[name] = &member{at: row.Peers, domain: row.Domain, share: row.Share, megabits: row.Megabits}
	d.budget.Bound(d.burst(t))
}

// credentialRead takes over what the boxes show each other.
func (d *Daemon) credentialRead(value []byte) {
	var credential string
	if err := json.Unmarshal(value, &credential); err != nil {
		d.Log.Error("the credential's row can't be read", "err", err)
		return
	}
	d.credential.Store(&credential)
}
