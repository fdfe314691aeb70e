// Package configuration holds the operators' configuration: client accounts, pools
// and models. It takes effect as one revision.
//
// A Configuration is immutable; Apply returns the next one:
//
//	next, err := current.Apply(change)
//	if err != nil { // the change is invalid; err holds every finding
//	}
package configuration

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/finding"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/pool"
)

// The kinds of entity.
const (
	KindAccount = "account"
	KindPool    = "pool"
	KindModel   = "model"
)

// Configuration is one revision. The zero value is the empty revision 0. Its
// maps must not be changed.
type Configuration struct {
	Revision uint64
	Accounts map[string]account.Account
	Pools    map[string]pool.Pool
	Models   map[string]model.Model

	// accountByKey maps each valid key's account.HashKey to the account's name. No two
	// accounts share a key.
	accountByKey map[string]string
}

// Entry is the change of one entity.
type Entry struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before is the entity before the change; absent for a new one.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the entity after the change; absent for a removal.
	After json.RawMessage `json:"after,omitempty"`
}

// Change is one proposed, accepted or refused change. It is stored as its audit row.
type Change struct {
	// ID is unique. The outcome of the change is read back by it.
	ID    string    `json:"id"`
	Actor string    `json:"actor"`
	At    time.Time `json:"at"`
	// Revision is the revision that the change creates.
	Revision uint64  `json:"revision"`
	Entries  []Entry `json:"entries"`
	// Refused is the reason of a refusal; empty if the change was accepted.
	Refused string `json:"refused,omitempty"`
}

// UnmarshalJSON reads and checks a revision from a peer.
func (c *Configuration) UnmarshalJSON(data []byte) error {
	type plain Configuration
	if err := json.Unmarshal(data, (*plain)(c)); err != nil {
		return trace.Wrap(err)
	}
	var findings finding.List
	c.index(&findings)
	c.check(&findings)
	return findings.Err()
}

// Account returns the account that an API key belongs to.
func (c *Configuration) Account(key string) (account.Account, bool) {
	name, ok := c.accountByKey[account.HashKey(key)]
	return c.Accounts[name], ok
}

// Supersedes reports whether this revision may replace another: it must be higher.
func (c *Configuration) Supersedes(other *Configuration) bool { return c.Revision > other.Revision }

// Fill returns the change with each entry's Before set from this revision and with
// Revision set to the next one.
func (c *Configuration) Fill(change Change) Change {
	entries := make([]Entry, len(change.Entries))
	for i, e := range change.Entries {
		e.Before = c.entity(e.Kind, e.Name)
		entries[i] = e
	}
	change.Entries = entries
	change.Revision = c.Revision + 1
	return change
}

// Apply returns the revision that the change creates. It fails with
// trace.CompareFailed if the change is not for the next revision, and with all
// findings if the result would be inconsistent.
func (c *Configuration) Apply(change Change) (*Configuration, error) {
	if change.Revision != c.Revision+1 {
		return nil, trace.CompareFailed("revision %d can't follow revision %d", change.Revision, c.Revision)
	}
	next := &Configuration{
		Revision: change.Revision,
		Accounts: cloned(c.Accounts),
		Pools:    cloned(c.Pools),
		Models:   cloned(c.Models),
	}
	var findings finding.List
	for _, e := range change.Entries {
		if err := next.put(e); err != nil {
			findings.Add(e.Kind+" "+e.Name, "%v", trace.Unwrap(err))
		}
	}
	next.index(&findings)
	next.check(&findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (c *Configuration) put(e Entry) error {
	switch e.Kind {
	case KindAccount:
		return putEntity(c.Accounts, e, func(a account.Account) string { return a.Name })
	case KindPool:
		return putEntity(c.Pools, e, func(p pool.Pool) string { return p.Name })
	case KindModel:
		return putEntity(c.Models, e, func(m model.Model) string { return m.Name })
	}
	return trace.BadParameter("unknown kind")
}

func putEntity[V any](all map[string]V, e Entry, name func(V) string) error {
	if e.After == nil {
		if _, known := all[e.Name]; !known && e.Before == nil {
			return trace.NotFound("there is none to remove")
		}
		delete(all, e.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(e.After, &v); err != nil {
		return trace.BadParameter("%v", err)
	}
	if e.Name == "" || name(v) != e.Name {
		return trace.BadParameter("the entity is named %q", name(v))
	}
	all[e.Name] = v
	return nil
}

func (c *Configuration) entity(kind, name string) json.RawMessage {
	switch kind {
	case KindAccount:
		return encode(c.Accounts, name)
	case KindPool:
		return encode(c.Pools, name)
	case KindModel:
		return encode(c.Models, name)
	}
	return nil
}

func encode[V any](all map[string]V, name string) json.RawMessage {
	v, ok := all[name]
	if !ok {
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}

func (c *Configuration) index(findings *finding.List) {
	c.accountByKey = make(map[string]string, len(c.Accounts))
	for name, a := range c.Accounts {
		for _, hash := range a.KeyHashes {
			if other, taken := c.accountByKey[hash]; taken {
				findings.Add("account "+name, "has a key of account %s", other)
			}
			c.accountByKey[hash] = name
		}
	}
}

func (c *Configuration) check(findings *finding.List) {
	for name, a := range c.Accounts {
		checkAccount(findings, "account "+name, a)
		for _, p := range a.Pools {
			if _, ok := c.Pools[p]; !ok {
				findings.Add("account "+name, "unknown pool %q", p)
			}
		}
	}
	for name, p := range c.Pools {
		checkPool(findings, "pool "+name, p)
	}
	for name, m := range c.Models {
		if c.Pools[m.Pool].Kind != pool.KindModel {
			findings.Add("model "+name, "%q is no pool of kind %s", m.Pool, pool.KindModel)
		}
	}
}

func checkAccount(findings *finding.List, place string, a account.Account) {
	const hashLength = 64
	if a.Weight < 1 {
		findings.Add(place, "weight must be at least 1")
	}
	if a.Concurrency < 0 || a.TokensPerMinute < 0 {
		findings.Add(place, "limits must not be negative")
	}
	for _, hash := range a.KeyHashes {
		if len(hash) != hashLength {
			findings.Add(place, "a key hash must have %d hexadecimal digits", hashLength)
		}
	}
}

func checkPool(findings *finding.List, place string, p pool.Pool) {
	const minPieceBytes = 64
	switch p.Kind {
	case pool.KindModel:
		if p.Weights == "" {
			findings.Add(place, "weights must name a version")
		}
		if p.PieceBytes < minPieceBytes {
			findings.Add(place, "piece_bytes must be at least %d", minPieceBytes)
		}
	case pool.KindService:
	default:
		findings.Add(place, "kind must be %s or %s", pool.KindModel, pool.KindService)
	}
	if p.Concurrency < 1 {
		findings.Add(place, "concurrency must be at least 1")
	}
	if p.Policy.FirstToken < 0 || p.Policy.Recompute < 0 || p.Policy.Link < 0 {
		findings.Add(place, "policy weights must not be negative")
	}
}
