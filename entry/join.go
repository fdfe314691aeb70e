package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"

	"github.com/thymewind/thymewind/table"
)

// memberPrefix begins the keys of the boxes' rows. A box writes its own when it
// starts and nobody removes it: the rows tell how many share the work and
// where they are found, not who is alive.
const memberPrefix = "member/"

// credentialKey is the row of what the boxes show each other. The first box
// that starts draws it.
const credentialKey = "credential"

// memberRow is the value of a box's row.
type memberRow struct {
	Peers  netip.AddrPort `json:"peers"`
	Domain string         `json:"domain"`
	// Share is the box's part of a core, Megabits its link's speed a second.
	Share    float64 `json:"share"`
	Megabits float64 `json:"megabits"`
	// Region is the one that the box's failure domain lies in.
	Region string `json:"region,omitempty"`
}

// credentialWriterOneIn is the share of boxes, one in so many, that write the credential when
// they first start and find none. When a fleet starts at once they all find none, one is enough,
// and writes of all to one row would keep each other waiting.
const credentialWriterOneIn = 16

// ownRow is this box's row.
func (d *Daemon) ownRow() table.Row {
	value, err := json.Marshal(memberRow{d.Settings.Peers, d.Settings.Domain, d.Settings.Box.Share, d.Settings.Box.Megabits, d.Settings.Region})
	if err != nil {
		panic(err) // The row's own type always encodes.
	}
	return table.Row{Key: memberPrefix + d.Settings.Name, Value: value}
}

// join writes this box's row, unless the rows read say just that, and the
// credential, if there is none yet and it falls to this box.
func (d *Daemon) join(ctx context.Context, rows []table.Row) {
	own := d.ownRow()
	if !hasRow(rows, own) {
		d.retryWrite(ctx, func() error { return d.write(ctx, own) })
	}
	if !hasCredential(rows) && d.chance(credentialWriterOneIn) {
		d.retryWrite(ctx, func() error { return d.createCredential(ctx) })
	}
}

// hasRow says that the rows hold one just as it is.
func hasRow(rows []table.Row, own table.Row) bool {
	return slices.ContainsFunc(rows, func(r table.Row) bool { return r.Key == own.Key && bytes.Equal(r.Value, own.Value) })
}

// retryWrite writes until that succeeds.
func (d *Daemon) retryWrite(ctx context.Context, write func() error) {
	for ctx.Err() == nil {
		err := write()
		if err == nil {
			return
		}
		d.Log.Warn("a row of this box was not written; trying again", "err", err)
		d.sleep(ctx, time.Second)
	}
}

// hasCredential says that the rows hold what the boxes show each other.
func hasCredential(rows []table.Row) bool {
	return slices.ContainsFunc(rows, func(r table.Row) bool { return r.Key == credentialKey })
}

// createCredential writes the credential unless there is one.
func (d *Daemon) createCredential(ctx context.Context) error {
	value, err := json.Marshal(ulid.Make().String())
	if err != nil {
		return trace.Wrap(err)
	}
	// A write that took place after a restore counts as failed too; the next read tells.
	err = d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: credentialKey}},
		Put:    []table.Row{{Key: credentialKey, Value: value}},
	})
	if trace.IsCompareFailed(err) {
		return nil
	}
	return err
}

// applyMemberRow takes over another box's row.
func (d *Daemon) applyMemberRow(t *tables, name string, value []byte) {
	var row memberRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("a box's row can't be read", "box", name, "err", err)
	}
	delete(t.lostRows, name)
	if m, known := t.members[name]; known && !m.unlisted && m.address == row.Peers {
		return
	}
	d.Log.Debug("box known", "name", name, "at", row.Peers)
	t.members[name] = &member{heardAt: d.now(), address: row.Peers, domain: row.Domain, share: row.Share, megabits: row.Megabits}
	t.hubRanks = nil
	t.regions[row.Domain] = row.Region
}

// applyCredential takes over what the boxes show each other.
func (d *Daemon) applyCredential(value []byte) {
	var credential string
	if err := json.Unmarshal(value, &credential); err != nil {
		d.Log.Error("the credential's row can't be read", "err", err)
		return
	}
	d.credential.Store(&credential)
}
