package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/thymewind/thymewind/dispatch"
	api "github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/reuse"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/stream"
)

// request is one model request.
type request struct {
	id           int
	account      string
	prompt       prompt
	answer       int
	arrived      time.Time
	firstTokenAt time.Time
	attempt      int
	exclude      []string
	avoid        string
	placed       route.Placement
	store        *store
	usage        stream.Usage
	// queued is the number of its tokens that its engine has to compute.
	queued int
}

// padding stands in for the text of any prompt; only its length matters.
var padding = strings.Repeat(" ", 64*pieceTokens*dispatch.BytesPerToken)

// prompt is a prompt's recurring part, or that of a one-off request.
type prompt struct {
	name   string
	pieces int
	home   prefix.Key
	keys   []prefix.Key
}

// tokens returns the request's prompt tokens: the prompt's pieces and a question.
func (r *request) tokens() int { return r.prompt.pieces*pieceTokens + pieceTokens/4 }

// traffic generates requests and drives them to their ends.
type traffic struct {
	*simulation
	prompts []prompt
	// weights are the cumulative weights of the prompts.
	weights   []float64
	generated int
	// floodRate is the first account's additional rate during FaultFlood.
	floodRate float64
}

func newTraffic(sim *simulation) *traffic {
	t := &traffic{simulation: sim}
	sizes := rand.New(rand.NewPCG(99, 0)) // A fixed seed, so that the prompts are the same in all runs.
	sum := 0.0
	for i := range sim.Deployment.Prompts {
		d := sim.Deployment
		t.prompts = append(t.prompts, t.newPrompt(fmt.Sprint(i), i%d.Accounts, d.MinPieces+sizes.IntN(d.MaxPieces-d.MinPieces+1)))
		sum += 1 / math.Pow(float64(i+1), 0.6)
		t.weights = append(t.weights, sum)
	}
	return t
}

func (t *traffic) newPrompt(name string, account, pieces int) prompt {
	scope := prefix.Scope(accountName(account), "v1")
	p := prompt{name: name, pieces: pieces}
	text := []byte(name)
	for range pieces {
		text = append(text, '.')
		p.keys = append(p.keys, prefix.Home(scope, text, len(text)))
	}
	p.home = prefix.Home(prefix.Scope(accountName(account), ""), text, len(text))
	return p
}

// next generates a request and schedules the next one.
func (t *traffic) next() {
	t.generated++
	d := t.Deployment
	r := &request{id: t.generated, arrived: t.now, answer: 1 + int(t.random.ExpFloat64()*float64(d.Tokens))}
	if t.random.Float64() < d.OneOffShare {
		account := t.account()
		r.account = accountName(account)
		r.prompt = t.newPrompt(fmt.Sprint("once ", t.generated), account, d.MinPieces+t.random.IntN(d.MaxPieces-d.MinPieces+1))
	} else {
		at, _ := slices.BinarySearch(t.weights, t.random.Float64()*t.weights[len(t.weights)-1])
		at = min(at, len(t.prompts)-1)
		r.account = accountName(at % d.Accounts)
		r.prompt = t.prompts[at]
	}
	if t.floodRate > 0 && t.random.Float64() < t.floodRate/(t.floodRate+d.Rate) {
		r.account = accountName(0)
		r.prompt = t.newPrompt(fmt.Sprint("flood ", t.generated), 0, d.MinPieces)
	}
	t.figures.requests++
	t.place(r)
	t.after(seconds(t.random.ExpFloat64()/(d.Rate+t.floodRate)), t.next)
}

// account draws an account. Half of the draws are among the first two only, which makes
// these large.
func (t *traffic) account() int {
	if t.random.Float64() < 0.5 {
		return t.random.IntN(2)
	}
	return t.random.IntN(t.Deployment.Accounts)
}

// place places one attempt.
func (t *traffic) place(r *request) {
	r.attempt++
	placed, err := t.scheduler.Place(t.now, route.PlacementRequest{
		Request: fmt.Sprint(r.id), Account: r.account, Model: poolName, Attempt: r.attempt, Home: r.prompt.home,
		Prompt: padding[:r.tokens()*dispatch.BytesPerToken], Tokens: r.answer, Exclude: r.exclude, AvoidDomain: r.avoid,
	})
	if err != nil {
		t.figures.refused++
		return
	}
	placed.Keys = r.prompt.keys
	r.placed = placed
	t.find(r)
	const hop = 2 * time.Millisecond
	t.after(hop, func() { t.send(r) })
}

// find looks up cache in the store box and decides whether to import it, as the daemon
// does.
func (t *traffic) find(r *request) {
	for _, s := range t.stores {
		if s.address == r.placed.Store {
			r.store = s
		}
	}
	if r.store == nil || !r.placed.Store.IsValid() {
		return
	}
	if r.store.dead {
		t.scheduler.StoreAvoidUntil[r.placed.StoreName] = t.now.Add(dispatch.StoreBackoff)
		return
	}
	keys := make([]string, len(r.placed.Keys))
	for i, key := range r.placed.Keys {
		keys[i] = key.String()
	}
	found := r.store.find(keys)
	found.Run = kvcache.Usable(found.Run, r.placed.Scope.String(), keys)
	r.placed.CachedPieces = len(found.Run)
	weights := t.scheduler.Configuration.Pools[poolName].Policy
	n := t.Policy.importPieces(t.now, r.placed.Estimate, weights, reuse.Choice{Tokens: r.tokens(), Found: found, Wait: r.placed.Wait})
	r.placed.PredictedImport = reuse.Predicted(found, n)
	if n > 0 {
		r.placed.Import = &api.Import{Store: r.placed.Store, Run: found.Run[:n]}
	}
}

func (t *traffic) send(r *request) {
	for _, e := range t.engines {
		if e.name != r.placed.Target {
			continue
		}
		if e.dead {
			t.retry(r, route.AttemptResult{Placement: r.placed, Failed: true})
			return
		}
		if !e.submit(r) {
			t.scheduler.ApplySignals(t.now, r.placed, notice.Signals{Leaving: e.leaving})
			t.retry(r, route.AttemptResult{Placement: r.placed, Refused: true})
			return
		}
	}
}

// runFailed handles a run whose engine failed.
func (t *traffic) runFailed(r *request) {
	t.retry(r, route.AttemptResult{Placement: r.placed, Failed: true})
}

func (t *traffic) retry(r *request, e route.AttemptResult) {
	const attempts = 3
	t.scheduler.Ended(t.now, e)
	if r.attempt >= attempts {
		t.figures.refused++
		return
	}
	t.figures.retried++
	r.exclude = append(r.exclude, r.placed.Target)
	r.avoid = r.placed.Domain
	t.place(r)
}

// completed handles a whole answer.
func (t *traffic) completed(r *request) {
	ended := route.AttemptResult{Placement: r.placed, FirstToken: r.firstTokenAt.Sub(r.arrived), Took: t.now.Sub(r.arrived), End: stream.Frame{Request: fmt.Sprint(r.id), Usage: r.usage}}
	t.figures.answered(r, t.now)
	if r.placed.Scope != prefix.Scope(r.account, "v1") {
		t.figures.Wrong++
	}
	if t.scheduler.Ended(t.now, ended) && r.store != nil {
		t.scheduler.Exported(poolName, r.store.write(r.placed.Scope, r.placed.Keys))
	}
}

func sorted(all map[*request]bool) []*request {
	var list []*request
	for r := range all {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}
