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

// memberPrefix is the key prefix of the boxes' rows. A box writes its own row when it starts,
// and nobody removes it: the rows say how many boxes share the work and at which addresses, not
// which of them are alive.
const memberPrefix = "member/"

// credentialKey is the row of the credential that boxes present to each other. The first box
// that starts generates it.
const credentialKey = "credential"

// memberRow is the value of a box's row.
type memberRow struct {
	Peers  netip.AddrPort `json:"peers"`
	Domain string         `json:"domain"`
	// Share is the box's share of a core, Megabits the bandwidth of its link in Mbit/s.
	Share    float64 `json:"share"`
	Megabits float64 `json:"megabits"`
	// Region is the region of the box's failure domain.
	Region string `json:"region,omitempty"`
}

// credentialWriterOneIn sets which boxes write the credential when they first start and find
// none: one in this many. In a fleet that starts at once all find none; one writer is enough,
// and writes of all to one row would delay each other.
const credentialWriterOneIn = 16

// ownRow is this box's row.
func (d *Daemon) ownRow() table.Row {
	value, err := json.Marshal(memberRow{d.Settings.Peers, d.Settings.Domain, d.Settings.Box.Share, d.Settings.Box.Megabits, d.Settings.Region})
	if err != nil {
		panic(err) // memberRow always encodes.
	}
	return table.Row{Key: memberPrefix + d.Settings.Name, Value: value}
}

// join writes this box's row unless rows contain it unchanged, and the credential if there is
// none yet and this box is chosen at random to write it.
func (d *Daemon) join(ctx context.Context, rows []table.Row) {
	own := d.ownRow()
	if !hasRow(rows, own) {
		d.retryWrite(ctx, func() error { return d.writeRow(ctx, own) })
	}
	if !hasCredential(rows) && d.oneIn(credentialWriterOneIn) {
		d.retryWrite(ctx, func() error { return d.createCredential(ctx) })
	}
}

// writeRow puts one row unconditionally: no other box writes it.
func (d *Daemon) writeRow(ctx context.Context, row table.Row) error {
	return d.Platform.Commit(ctx, table.Transaction{Put: []table.Row{row}})
}

// hasRow reports whether rows contain own with the same value.
func hasRow(rows []table.Row, own table.Row) bool {
	return slices.ContainsFunc(rows, func(r table.Row) bool { return r.Key == own.Key && bytes.Equal(r.Value, own.Value) })
}

// retryWrite retries a write until it succeeds.
func (d *Daemon) retryWrite(ctx context.Context, write func() error) {
	for ctx.Err() == nil {
		err := write()
		if err == nil {
			return
		}
		d.Log.Warn("a row of this box was not written; retrying", "err", err)
		d.sleep(ctx, time.Second)
	}
}

// hasCredential reports whether rows contain the boxes' credential.
func hasCredential(rows []table.Row) bool {
	return slices.ContainsFunc(rows, func(r table.Row) bool { return r.Key == credentialKey })
}

// createCredential writes a credential for the boxes unless there is one. It is the same at each
// attempt and is kept from then on: another box may have read it from a write whose answer was
// lost, or before a restore.
func (d *Daemon) createCredential(ctx context.Context) error {
	if d.newCredential == "" {
		d.newCredential = ulid.Make().String()
	}
	value, err := json.Marshal(d.newCredential)
	if err != nil {
		return trace.Wrap(err)
	}
	// A write made after a restore counts as failed too; the next read shows what is stored.
	err = d.Platform.Commit(ctx, table.Transaction{
		Expect: []table.Condition{{Key: credentialKey}},
		Put:    []table.Row{{Key: credentialKey, Value: value}},
	})
	if trace.IsCompareFailed(err) {
		return nil // Another box wrote one; the next read shows it.
	}
	if err == nil {
		d.credential.Store(&d.newCredential)
	}
	return err
}

// applyMemberRow applies another box's row.
func (d *Daemon) applyMemberRow(t *tables, name string, value []byte) {
	var row memberRow
	if err := json.Unmarshal(value, &row); err != nil {
		d.Log.Error("a box's row can't be decoded", "box", name, "err", err)
	}
	delete(t.lostRows, name)
	if m, known := t.members[name]; known && !m.unlisted && m.address == row.Peers {
		return
	}
	d.Log.Debug("box known", "name", name, "at", row.Peers)
	t.members[name] = &member{heardAt: d.now(), address: row.Peers, domain: row.Domain, share: row.Share, megabits: row.Megabits}
	t.hubRanks, t.keepersOf, t.originsUntold = nil, nil, true
	t.regions[row.Domain] = row.Region
}

// applyCredential applies the boxes' credential.
func (d *Daemon) applyCredential(value []byte) {
	var credential string
	if err := json.Unmarshal(value, &credential); err != nil {
		d.Log.Error("the credential's row can't be decoded", "err", err)
		return
	}
	d.credential.Store(&credential)
}
