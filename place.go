package thymewind

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/target"
)

// place admits a request and chooses the target of one attempt.
func (d *Daemon) place(now time.Time, t *tables, ask route.Ask) (route.Placed, error) {
	name := ask.Pool
	if ask.Model != "" {
		name = t.configuration.Models[ask.Model].Pool
	}
	p, known := t.configuration.Pools[name]
	if !known {
		return route.Placed{}, refusal.New(refusal.DidNotRun, http.StatusNotFound, "unknown_pool", "pool %q is not configured any more", name)
	}
	if ask.Attempt > 1 {
		t.gate.Count(ask.Account, name)
	} else if err := d.admit(now, t, ask, name); err != nil {
		return route.Placed{}, err
	}
	placed, err := d.choose(now, t, ask, p)
	if err != nil {
		t.gate.Release(ask.Account, name)
	}
	return placed, err
}

// admit asks the gate and turns a no into a refusal with a time to come back.
func (d *Daemon) admit(now time.Time, t *tables, ask route.Ask, name string) error {
	boxes := float64(t.boxCount())
	a := t.configuration.Accounts[ask.Account]
	v := t.gate.Admit(admission.Ask{
		Account: ask.Account, Pool: name, Weight: max(a.Weight, 1),
		WeightOf: func(other string) int { return max(t.configuration.Accounts[other].Weight, 1) },
		Capacity: float64(t.capacity(now, name)), Load: float64(t.load(now, name)),
		Concurrency:     share(a.Concurrency, boxes),
		TokensPerMinute: float64(a.TokensPerMinute) / boxes,
		Tokens:          ask.Tokens + len(ask.Prompt)/bytesPerToken, Now: now,
	})
	if v.OK {
		return nil
	}
	return refusal.New(refusal.DidNotRun, http.StatusTooManyRequests, "over_limit", "%s", v.Reason).After(d.jitter(v.After))
}

// bytesPerToken estimates tokens for throttles; charges come from engines.
const bytesPerToken = 4

// share is one box's part of a limit over all boxes; zero stays no limit.
func share(limit int, boxes float64) int {
	if limit == 0 {
		return 0
	}
	return max(1, int(float64(limit)/boxes))
}

// choose picks the target of an attempt and counts the attempt on it.
func (d *Daemon) choose(now time.Time, t *tables, ask route.Ask, p pool.Pool) (route.Placed, error) {
	targets := t.pools[p.Name]
	skip := func(x *target.Target) bool {
		if slices.Contains(ask.Exclude, x.Name) {
			return true
		}
		if p.Kind != pool.KindModel {
			return false
		}
		return !p.Serves(x.Version) || (ask.Version != "" && x.Version != ask.Version)
	}
	choice, err := d.chooser.Choose(now, ask.Home.Rank(), targets, func(x *target.Target) bool {
		return skip(x) || (ask.AvoidDomain != "" && x.Domain == ask.AvoidDomain)
	})
	if err != nil && ask.AvoidDomain != "" {
		choice, err = d.chooser.Choose(now, ask.Home.Rank(), targets, skip)
	}
	if err != nil {
		return route.Placed{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_target",
			"no target of pool %s takes new work", p.Name).After(d.jitter(time.Second))
	}
	x := targets[choice.Index]
	x.InFlight++
	if p.Kind == pool.KindModel {
		x.SentSince++ // Services report no load that would set it back.
	}
	d.recordPlaced(now, ask, p, targets, choice)
	placed := route.Placed{
		Request: ask.Request, Account: ask.Account, Pool: p.Name, Attempt: ask.Attempt,
		Target: x.Name, Address: x.Address, Domain: x.Domain, Version: x.Version,
		Scope: d.scope(ask.Account, x.Version), PieceBytes: p.PieceBytes, Rule: choice.Rule,
		FirstToken: firstTokenBound(p),
	}
	if p.Kind == pool.KindModel {
		d.addCache(now, t, ask, p, &placed)
	}
	return placed, nil
}

// firstTokenBound is how long an engine may be silent before its first text: a
// few times what the pool promises, so that only a dead or frozen one is left.
func firstTokenBound(p pool.Pool) time.Duration {
	const (
		factor  = 3
		without = 10 * time.Second
	)
	if p.FirstTokenMillis == 0 {
		return without
	}
	return factor * time.Duration(p.FirstTokenMillis) * time.Millisecond
}

// addCache says what the loop knows about the cache of a prompt's beginning.
func (d *Daemon) addCache(now time.Time, t *tables, ask route.Ask, p pool.Pool, placed *route.Placed) {
	last, known := t.recent.Get(ask.Home)
	placed.Warm = known && last == placed.Target+placed.Version
	placed.Home = ask.Home
	placed.Estimate = t.reuseOf(p.Name).estimate
	if !p.Stores {
		return
	}
	if store, ok := d.storeOf(now, t, ask.Home); ok {
		placed.Store, placed.StoreName = store.Address, store.Name
	}
}

func (d *Daemon) recordPlaced(now time.Time, ask route.Ask, p pool.Pool, targets []*target.Target, choice placement.Choice) {
	r := decision.Record{
		At: now, Kind: decision.Placed, Request: ask.Request, Account: ask.Account, Pool: p.Name, Rule: choice.Rule,
		Inputs: fmt.Sprintf("attempt %d, %d usable targets, mean load %.2f, excluded %v", ask.Attempt, choice.Usable, choice.Mean, ask.Exclude),
		Result: targets[choice.Index].Name,
	}
	for rank, i := range choice.Best {
		if i >= 0 {
			r.Candidates = append(r.Candidates, decision.Candidate{
				Name: targets[i].Name, Score: float64(targets[i].Load()), Note: fmt.Sprintf("rank %d, score is load", rank),
			})
		}
	}
	if ask.Attempt > 1 {
		r.Kind = decision.Retried
	}
	d.records.Add(r)
	d.counts.placed.WithLabelValues(p.Name, choice.Rule).Inc()
}

// ended takes back what place counted and learns from how it went.
func (d *Daemon) ended(now time.Time, t *tables, m attemptEnded) []effect {
	t.gate.Release(m.Placed.Account, m.Placed.Pool)
	d.recordEnded(now, m)
	x, known := t.targets.Lookup(m.Placed.Target)
	if !known || x.Address != m.Placed.Address {
		return nil
	}
	x.InFlight--
	if m.Leaving {
		d.markLeaving(x, "its own answer")
	}
	switch {
	case m.Failed:
		d.fail(now, x)
	case m.Refused:
		// The refusal is newer than the report: think of the target as full.
		x.Running = max(x.Running, x.Slots)
	default:
		x.Failures = 0
		x.FirstToken = smooth(x.FirstToken, m.FirstToken)
		return d.learn(now, t, m)
	}
	return nil
}

// smooth is an exponential moving mean; a zero sample is passed over.
func smooth(mean, sample time.Duration) time.Duration {
	const part = 8
	switch {
	case sample == 0:
		return mean
	case mean == 0:
		return sample
	}
	return mean + (sample-mean)/part
}

func (d *Daemon) recordEnded(now time.Time, m attemptEnded) {
	u := m.End.Usage
	r := decision.Record{
		At: now, Kind: decision.Finished, Request: m.Placed.Request, Account: m.Placed.Account, Pool: m.Placed.Pool,
		Rule: "whole answer", Result: m.Placed.Target,
		Inputs: fmt.Sprintf("first token %v, prompt %d tokens: %d reused, %d imported; answer %d tokens", m.FirstToken.Round(time.Microsecond), u.Prompt, u.Reused, u.Imported, u.Completion),
	}
	switch {
	case m.Refused:
		r.Kind, r.Rule = decision.Refused, "refused by the target before it started"
	case m.Failed:
		r.Rule = "broken off"
	default:
		if m.FirstToken == 0 {
			break
		}
		d.counts.firstToken.WithLabelValues(m.Placed.Pool).Observe(m.FirstToken.Seconds())
		d.counts.tokens.WithLabelValues(m.Placed.Pool, "reused").Add(float64(u.Reused))
		d.counts.tokens.WithLabelValues(m.Placed.Pool, "imported").Add(float64(u.Imported))
		d.counts.tokens.WithLabelValues(m.Placed.Pool, "computed").Add(float64(u.Prompt - u.Reused - u.Imported))
	}
	d.records.Add(r)
}
