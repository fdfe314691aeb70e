// Package decision stores records that explain the system's decisions: the inputs, the
// candidates with their scores, the rule and the result.
//
//	var r decision.Ring // with r.Size set
//	r.Add(decision.Record{Kind: decision.Placed, Request: "r1", Result: "engine-2"})
//	for _, record := range r.ForRequest("r1") { ... }
package decision

import (
	"sync"
	"time"
)

// The kinds of record.
const (
	Placed   = "placed"
	Reused   = "reused"
	Kept     = "kept"
	Dropped  = "dropped"
	Refused  = "refused"
	Retried  = "retried"
	Resumed  = "resumed"
	Claimed  = "claimed"
	Ordered  = "ordered"
	Changed  = "changed"
	Finished = "finished"
)

// Record explains one decision.
type Record struct {
	At   time.Time `json:"at"`
	Box  string    `json:"box"`
	Kind string    `json:"kind"`
	// Request is the request ID, if the decision is about one.
	Request string `json:"request,omitempty"`
	// Account is the client account of the request.
	Account string `json:"account,omitempty"`
	Pool    string `json:"pool,omitempty"`
	// Rule names the rule that decided.
	Rule string `json:"rule"`
	// Inputs describes the inputs, such as loads and predicted times.
	Inputs     string      `json:"inputs,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
	Result     string      `json:"result"`
}

// Candidate is one possible choice.
type Candidate struct {
	Name  string  `json:"name"`
	Score float64 `json:"score"`
	Note  string  `json:"note,omitempty"`
}

// Ring is a ring buffer of the latest records. Set the exported fields before first
// use; it is safe for concurrent use after that.
type Ring struct {
	// Size is the capacity in records. It is at least 1.
	Size int
	// Box is set as Record.Box of each record.
	Box string

	mu sync.Mutex
	// records holds at most Size records. Once it is full, next is the index of the
	// oldest one, which the next record replaces.
	records []Record
	next    int
}

// Add adds a record and evicts the oldest one if the ring is full. A record without At
// gets the current time.
func (r *Ring) Add(record Record) {
	record.Box = r.Box
	if record.At.IsZero() {
		record.At = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < r.Size {
		r.records = append(r.records, record)
		return
	}
	r.records[r.next] = record
	r.next = (r.next + 1) % r.Size
}

// ForRequest returns the records of one request, oldest first.
func (r *Ring) ForRequest(request string) []Record {
	return r.filter(func(record Record) bool { return record.Request == request })
}

// Last returns up to n of the latest records, oldest first.
func (r *Ring) Last(n int) []Record {
	all := r.filter(func(Record) bool { return true })
	return all[max(0, len(all)-n):]
}

func (r *Ring) filter(keep func(Record) bool) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Record
	for i := range r.records {
		record := r.records[(r.next+i)%len(r.records)]
		if keep(record) {
			found = append(found, record)
		}
	}
	return found
}
