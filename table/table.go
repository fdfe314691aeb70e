// Package table is the client of the platform's transactional table service.
//
// A transaction lists conditions on rows and the writes to make if they hold. It
// is applied atomically:
//
//	c := table.Client{Base: "http://10.0.0.5:7000", HTTP: http.DefaultClient}
//	err := c.Commit(ctx, table.Transaction{
//		Expect: []table.Condition{{Key: "lease/orders", Revision: 4}},
//		Put:    []table.Row{{Key: "lease/orders", Value: value}},
//	})
//	switch {
//	case trace.IsCompareFailed(err): // another writer came first
//	case errors.Is(err, table.ErrOutcomeUnknown): // applied or not; read back
//	}
package table

import (
	"encoding/json"
	"errors"

	"github.com/thymewind/thymewind/revision"
)

// ErrOutcomeUnknown says that a transaction was sent but got no answer, so it may have been
// applied. The caller has to read back a unique value that it wrote.
var ErrOutcomeUnknown = errors.New("transaction outcome unknown: no answer from the table service")

// Row is one keyed value.
type Row struct {
	// Key is never empty. Its first part, up to a slash, names the kind of row.
	Key string `json:"key"`
	// Value is JSON.
	Value json.RawMessage `json:"value,omitempty"`
	// Revision is set by the service and grows with each write of any row.
	Revision uint64 `json:"revision,omitempty"`
	// Restores is the number of restores of the service from an older copy at the time of the
	// read, also for an absent row; zero if the service does not report it. Revisions with
	// different counts can't be compared.
	Restores uint64 `json:"-"`
}

// At returns the row's revision together with the restore count.
func (r Row) At() revision.Revision {
	return revision.Revision{Restores: r.Restores, Number: r.Revision}
}

// Condition requires that a row has exactly this revision when the transaction is
// applied.
type Condition struct {
	Key string `json:"key"`
	// Revision zero requires that the row is absent.
	Revision uint64 `json:"revision"`
	// Restores is that of the row that was read. A condition on a row read before a restore
	// does not hold, though the service itself may accept it.
	Restores uint64 `json:"-"`
}

// Transaction is applied completely if every condition holds, and not at all
// otherwise.
type Transaction struct {
	Expect []Condition `json:"expect,omitempty"`
	Put    []Row       `json:"put,omitempty"`
	Delete []string    `json:"delete,omitempty"`
}
