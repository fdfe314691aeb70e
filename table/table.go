// Package table is the client of the platform's transactional table service.
//
// A transaction lists what must be true of some rows and what to write if it
// is. It is applied whole or not at all:
//
//	c := table.Client{Base: "http://10.0.0.5:7000", HTTP: http.DefaultClient}
//	err := c.Commit(ctx, table.Transaction{
//		Expect: []table.Condition{{Key: "lease/orders", Revision: 4}},
//		Put:    []table.Row{{Key: "lease/orders", Value: value}},
//	})
//	switch {
//	case trace.IsCompareFailed(err): // somebody else wrote first
//	case errors.Is(err, table.ErrLost): // applied or not; read back
//	}
package table

import (
	"encoding/json"
	"errors"

	"github.com/thymewind/thymewind/revision"
)

// ErrLost says that a transaction was sent but its answer was not received, so
// it may have been applied. The caller reads back a value of its own making.
var ErrLost = errors.New("the table service's answer was lost")

// Row is one keyed value.
type Row struct {
	// Key is never empty. Its first part names the kind of row.
	Key string `json:"key"`
	// Value is JSON.
	Value json.RawMessage `json:"value,omitempty"`
	// Revision grows with each write of any row; it is set by the service.
	Revision uint64 `json:"revision,omitempty"`
	// Restores counts how often the service had been restored from an older copy when it told
	// of the row, also of one that is not there; zero if it does not tell. A revision says
	// nothing beside one of another count.
	Restores uint64 `json:"-"`
}

// At is when the row last changed.
func (r Row) At() revision.Revision {
	return revision.Revision{Restores: r.Restores, Number: r.Revision}
}

// Condition demands that a row has exactly this revision when the transaction
// is applied.
type Condition struct {
	Key string `json:"key"`
	// Revision zero demands that the row is absent.
	Revision uint64 `json:"revision"`
	// Restores is as in the row that was read. A condition on a row from before the service
	// was restored does not hold, though the service may take it to.
	Restores uint64 `json:"-"`
}

// Transaction is applied whole, if every condition holds, or not at all.
type Transaction struct {
	Expect []Condition `json:"expect,omitempty"`
	Put    []Row       `json:"put,omitempty"`
	Delete []string    `json:"delete,omitempty"`
}
