package entry

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/reclaim"
	"github.com/thymewind/thymewind/refusal"
)

const (
	// expectedTTL is how long a prompt part sent to an engine or a store is assumed to be cached
	// there before its cache events confirm it.
	expectedTTL = 1500 * time.Millisecond
)

// placeInLoop requests a placement from the loop. In a large fleet the loop asks hubs first.
func (d *Daemon) placeInLoop(ctx context.Context, request deliver.PlacementRequest) (deliver.Placement, error) {
	if d.short.Load() && d.mayWait(request.Job) {
		request.Job.Fingerprint() // Cached, so that the loop need not compute it.
	}
	reply := make(chan placementAnswer, 1)
	select {
	case d.messages <- placementRequest{ctx: ctx, ask: request, reply: reply}:
	case <-ctx.Done():
		return deliver.Placement{}, d.timeoutRefusal(request.Job)
	}
	select {
	case answer := <-reply: // Immediately, or after at most two calls to hubs, which end with ctx.
		return answer.place, answer.err
	case <-d.ended:
		return deliver.Placement{}, d.timeoutRefusal(request.Job)
	}
}

func (d *Daemon) timeoutRefusal(job *deliver.Job) error {
	return refusal.New(refusal.DidNotRun, 503, "timeout", "the time was up, or the caller left, before the request was placed").WithRetryAfter(d.retryAfter("timeout", job))
}

// place chooses a target and counts the request there.
func (d *Daemon) place(now time.Time, t *tables, request deliver.PlacementRequest) (deliver.Placement, error) {
	choose := d.placePlain
	if request.Job.Pool.Engine != nil {
		choose = d.placeModel
	}
	place, refused := d.placeBy(now, t, request, choose)
	if refused != nil {
		return place, refused
	}
	return place, nil
}

// chooser chooses a target for a request.
type chooser func(now time.Time, t *tables, request deliver.PlacementRequest) (deliver.Placement, *refusal.Refusal)

// placeBy is place with a given choice of the target.
func (d *Daemon) placeBy(now time.Time, t *tables, request deliver.PlacementRequest, choose chooser) (deliver.Placement, *refusal.Refusal) {
	if d.evacuationsStale(now) {
		return deliver.Placement{}, refusal.New(refusal.DidNotRun, 503, "stale", "which domains are evacuated was last known %v ago", d.provedAgo(now)).WithRetryAfter(d.retryAfter("stale", request.Job))
	}
	place, refused := choose(now, t, request)
	d.notePlacement(now, request, refused)
	if refused != nil {
		if d.waits && refused.Code == codeCrowded {
			t.noteShort(now, request.Job.Pool.Name, accountName(request.Job))
		}
		return place, refused.WithRetryAfter(d.retryAfterRefusal(now, t, refused.Code, request.Job))
	}
	d.addCopy(now, t, request, &place, d.copyLoss(now, t, request), inBackoff(now))
	t.countSent(now, place)
	t.placed.add(place.Tokens, request.Job)
	t.beginAccount(request.Job, place)
	t.countCopy(request.Job.ID, place)
	t.prefillBacklog.Place(now, placement.Hash(place.Target), place.PrefillTokens)
	return place, nil
}

func (d *Daemon) placePlain(now time.Time, t *tables, request deliver.PlacementRequest) (deliver.Placement, *refusal.Refusal) {
	return d.choosePlain(now, t, request, d.unwilling(now, request))
}

// choosePlain chooses a target of a plain service, except those excluded for the box that sends
// the request.
func (d *Daemon) choosePlain(now time.Time, t *tables, request deliver.PlacementRequest, excluded func(*fleet.Target) bool) (deliver.Placement, *refusal.Refusal) {
	if refused := d.refuseCongested(t, request); refused != nil {
		return deliver.Placement{}, refused
	}
	var x *fleet.Target
	var alternatives []deliver.Alternative
	for _, filter := range d.softwareFilters(now, t, request) {
		skip := d.skip(now, t, request, either(excluded, filter))
		if chosen, ok := d.services.Choose(now, t.fleet.Pool(request.Job.Pool.Name), skip); ok {
			x, alternatives = chosen, d.alternatives(now, t, chosen, skip)
			break
		}
	}
	if x == nil {
		return deliver.Placement{}, d.refuseNone(now, t, request, excluded)
	}
	t.countExposure(request, x)
	d.countCold(now, t, request.Job.Pool, x)
	return deliver.Placement{Target: x.ID, StartedAt: x.StartedAt, Address: x.Address, Software: x.Software, Slots: x.Slots, Alternatives: alternatives, PlacedAt: now, Rule: "nearest", QuotaGranted: d.takeQuota(now, t, x)}, nil
}

func (d *Daemon) refuseNone(now time.Time, t *tables, request deliver.PlacementRequest, excluded func(*fleet.Target) bool) *refusal.Refusal {
	pool := request.Job.Pool
	if refused := d.refuseGone(now, t, request); refused != nil {
		return refused
	}
	if cold := d.countColdExcluded(now, t, request); cold > 0 {
		return refusal.New(refusal.DidNotRun, 503, "warming", "no target of %s takes work now but %d that are cold and have got what they bear", pool.Name, cold)
	}
	if refused := d.refuseLimited(now, t, request, excluded); refused != nil {
		return refused
	}
	if refused := d.refuseBrittle(now, t, request); refused != nil {
		return refused
	}
	if refused := refuseBackoff(now, t, request, excluded); refused != nil {
		return refused
	}
	return refusal.New(refusal.DidNotRun, 503, "no_target", "no target of %s takes work now", pool.Name)
}

// refuseEngine refuses a request that no engine takes, with a code of its own if an available
// engine has weights that are too old.
func (d *Daemon) refuseEngine(now time.Time, t *tables, request deliver.PlacementRequest, query affinity.Request, targets []*fleet.Target, from sender) *refusal.Refusal {
	for _, x := range targets {
		if x.Available(now) && !d.softwareForbids(now, t, request, x) && x.Versions[query.Model] < query.MinVersion {
			return refusal.New(refusal.DidNotRun, 503, "old_weights", "the engines of %s that take work have weights older than version %d", request.Job.Pool.Name, query.MinVersion)
		}
	}
	return d.refuseNone(now, t, request, from.excluded)
}

// skip returns a filter for the targets that can't be chosen: those outside the allowed
// regions, those attempted before, those excluded for that box, and cold or rate-limited ones
// to which this box has sent its share.
func (d *Daemon) skip(now time.Time, t *tables, request deliver.PlacementRequest, excluded func(*fleet.Target) bool) func(id string) bool {
	regions := allowedRegions(request.Job)
	return func(id string) bool {
		x := t.fleet.Target(id)
		return !t.inRegions(regions, x.Domain) || slices.Contains(request.Attempted, id) || excluded(x) || d.coldShareUsed(now, t, request.Job.Pool, x) || !d.withinQuota(now, t, x)
	}
}

// either returns a filter for targets that match a or b.
func either(a, b func(*fleet.Target) bool) func(*fleet.Target) bool {
	return func(x *fleet.Target) bool { return a(x) || b(x) }
}

// inBackoff returns a filter for the targets that asked this box for a backoff.
func inBackoff(now time.Time) func(*fleet.Target) bool {
	return func(x *fleet.Target) bool { return x.InBackoff(now) }
}

// sender describes the box that sends a request, as far as the choice of a target depends on
// it.
type sender struct {
	domain string
	limit  admissionLimit
	// hasIdleConnection reports whether the box has an idle connection to a target, excluded
	// whether it must send no request there.
	hasIdleConnection, excluded func(*fleet.Target) bool
}

func (d *Daemon) placeModel(now time.Time, t *tables, request deliver.PlacementRequest) (deliver.Placement, *refusal.Refusal) {
	return d.placeWithin(now, t, request, d.admissionLimit(t, request.Job))
}

// placeWithin is placeModel with a given bound of the engines' memory.
func (d *Daemon) placeWithin(now time.Time, t *tables, request deliver.PlacementRequest, limit admissionLimit) (deliver.Placement, *refusal.Refusal) {
	return d.chooseEngine(now, t, request, sender{d.Settings.Domain, limit, d.hasIdleConnection, d.unwilling(now, request)})
}

// chooseEngine chooses an engine, trying the software versions in the order of softwareFilters.
func (d *Daemon) chooseEngine(now time.Time, t *tables, request deliver.PlacementRequest, from sender) (deliver.Placement, *refusal.Refusal) {
	var place deliver.Placement
	var refused *refusal.Refusal
	for _, filter := range d.softwareFilters(now, t, request) {
		place, refused = d.planEngine(now, t, request, from, filter)
		if refused == nil {
			t.countExposure(request, t.fleet.Target(place.Target))
			return place, nil
		}
	}
	return place, refused
}

// planEngine chooses an engine, except those that a filter matches, and plans the transfers of cached
// prompt parts.
func (d *Daemon) planEngine(now time.Time, t *tables, request deliver.PlacementRequest, from sender, filter func(*fleet.Target) bool) (deliver.Placement, *refusal.Refusal) {
	job := request.Job
	if d.weightsStale(now) {
		return deliver.Placement{}, refusal.New(refusal.DidNotRun, 503, "stale", "what the newest weights are was last known %v ago", d.provedAgo(now))
	}
	keys := make(map[int64][]directory.Key)
	w := t.rolloutOf(job.Model)
	regions := allowedRegions(job)
	query := affinity.Request{
		DomainAllowed: func(domain string) bool { return t.inRegions(regions, domain) },
		Domain:        d.preferredDomain(from.domain), Home: home(job), Tokens: job.PromptTokens + job.MaxOutputTokens, Capacity: job.Pool.Engine.Capacity, Parts: partsOf(job), Model: job.Model, NewestVersion: w.newestVersion, Skip: d.skip(now, t, request, either(from.excluded, filter)),
		MinVersion: w.requiredVersion(now, d.bounds.Load().WeightsWithin), Goal: job.Route.Goal, HasIdleConnection: from.hasIdleConnection,
		Full: func(taken int) bool {
			return !from.limit.admits(taken, job.PromptTokens+job.MaxOutputTokens, job.Pool.Engine.Capacity)
		},
		Keys: func(version int64) []directory.Key {
			if keys[version] == nil {
				keys[version] = keysOf(job, scope(version, job))
			}
			return keys[version]
		},
	}
	targets := t.engines(job.Pool.Name)
	t.presumedLoad = t.presumedOthers(now, targets)
	choice, ok := d.engines.Choose(now, query, targets)
	if !ok {
		return deliver.Placement{}, d.refuseEngine(now, t, request, query, targets, from)
	}
	if refused := d.refuseMemoryFull(now, t, choice.Target, query, from.limit); refused != nil {
		return deliver.Placement{}, refused
	}
	d.countCold(now, t, job.Pool, choice.Target)
	place := deliver.Placement{
		Target: choice.Target.ID, StartedAt: choice.Target.StartedAt, Address: choice.Target.Address, Software: choice.Target.Software, Slots: choice.Target.Slots, Version: choice.Version,
		Scope: scope(choice.Version, job), PrefillTokens: choice.PrefillTokens, Tokens: job.PromptTokens + job.MaxOutputTokens, Rule: choice.Rule,
		Save: addresses(choice.Save), PlacedAt: now, PrefillBacklog: choice.PrefillBacklog, Transfers: choice.Transfers,
		NewestVersion: w.newestVersion, ReplacedFor: w.replacedFor(now, choice.Version), BeginBy: w.beginBy(choice.Version, d.bounds.Load().WeightsWithin),
		QuotaGranted: d.takeQuota(now, t, choice.Target), NextBest: choice.NextBest, NextBestCost: choice.NextBestCost,
	}
	if choice.Slowdown > 1 {
		place.EngineSlowdown = choice.Slowdown
	}
	if t.clockKnown {
		place.Fetch = addresses(choice.Fetch)
		place.FetchUntil = d.uptime(now) + t.clock + reclaim.FetchTimeout(choice.Version >= w.newestVersion, d.provedAgo(now))
	}
	for i, p := range job.Parts {
		switch {
		case i < choice.CachedParts:
			place.CachedTokens += p.Tokens
		case choice.Fetch != nil && choice.Fetch[i] != nil:
			place.FetchedTokens += p.Tokens
		}
		if choice.Save != nil && choice.Save[i] != nil {
			place.SavedTokens += p.Tokens
		}
	}
	place.Alternatives = d.engineAlternatives(now, t, request, place, either(from.excluded, filter))
	expectCached(now, t, job.Parts, choice)
	return place, nil
}

// expectCached notes which parts the engine and the stores will cache.
func expectCached(now time.Time, t *tables, parts []deliver.Part, choice affinity.Choice) {
	until := now.Add(expectedTTL)
	for i, key := range choice.Keys {
		t.directory.Expect(choice.Target.ID, key, parts[i].Tokens, until)
		if choice.Save != nil && choice.Save[i] != nil {
			t.directory.Expect(choice.Save[i].Name, key, parts[i].Tokens, until)
		}
	}
}

func addresses(sources []*affinity.Source) []netip.AddrPort {
	if sources == nil {
		return nil
	}
	list := make([]netip.AddrPort, len(sources))
	for i, s := range sources {
		if s != nil {
			list[i] = s.Address
		}
	}
	return list
}

// home is the key by which the engines are ranked for a prompt (rendezvous hashing): its
// longest prefix that other prompts may share.
func home(job *deliver.Job) uint64 {
	if len(job.Parts) == 0 {
		return xxhash.Sum64String(job.ID)
	}
	return xxhash.Sum64String(job.Parts[max(len(job.Parts)-2, 0)].ID)
}

func partsOf(job *deliver.Job) []affinity.Part {
	list := make([]affinity.Part, len(job.Parts))
	for i, p := range job.Parts {
		list[i].Tokens = p.Tokens
	}
	return list
}

// scope returns the namespace of cached parts. Parts computed with other weights, or for an
// isolated account, are never found under it.
func scope(version int64, job *deliver.Job) string {
	text := job.Model + "@" + strconv.FormatInt(version, 10)
	if job.Account != nil && job.Account.Isolated {
		text += "/" + job.Account.Name
	}
	return text + regionScope(allowedRegions(job))
}

func keysOf(job *deliver.Job, scope string) []directory.Key {
	keys := make([]directory.Key, len(job.Parts))
	for i, p := range job.Parts {
		keys[i] = directory.KeyOf(scope, p.ID)
	}
	return keys
}
