package fairshare_test

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/fairshare"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/peer"
)

var start = time.Unix(1000, 0)

const pool = "models"

// names returns the names of n accounts.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("account-%02d", i)
	}
	return list
}

// referenceLevel finds the max-min level by bisection: the one at which the demands, each capped
// at its share, fill the capacity.
func referenceLevel(capacity float64, demands, weights []float64) float64 {
	low, high := 0.0, capacity+1
	for range 200 {
		level, sum := (low+high)/2, 0.0
		for i := range demands {
			sum += min(demands[i], weights[i]*level)
		}
		if sum < capacity {
			low = level
		} else {
			high = level
		}
	}
	return low
}

// sharesMatchReference is the property that the shares of random accounts, of which some found no
// room, are those of the reference, by weight if weigh is set.
func sharesMatchReference(weigh bool) gopter.Prop {
	const n = 6
	return prop.ForAll(func(used, weights []int, unserved []bool) bool {
		t, accounts := fairshare.New(), names(n)
		if weigh {
			t.Weight = func(account string) float64 { return float64(weights[slices.Index(accounts, account)]) }
		}
		demands, w, capacity, short := make([]float64, n), make([]float64, n), 0.0, false
		for i, account := range accounts {
			t.Begin(pool, account, used[i])
			demands[i], w[i] = float64(used[i]), float64(weights[i])
			capacity += demands[i]
			if unserved[i] {
				t.NoRoom(start, pool, account)
				demands[i], short = math.Inf(1), true
			}
		}
		level := referenceLevel(capacity, demands, w)
		for _, s := range t.Shares(start, pool, accounts) {
			i := slices.Index(accounts, s.Account)
			share := w[i] * level
			want := s.Used
			if short && (unserved[i] || float64(s.Used) > share) {
				want = int(share)
			}
			if s.Used != used[i] || math.Abs(float64(s.Share-want)) > 1 || short && math.Abs(float64(s.Used)-share) > 1e-3 && s.Over != (float64(s.Used) > share) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(n, gen.IntRange(0, 100000)), gen.SliceOfN(n, gen.IntRange(1, 5)), gen.SliceOfN(n, gen.Bool()))
}

// TestShares guards against shares that aren't max-min: an account held below its share while
// another has more than its own, or weights that don't count.
func TestShares(t *testing.T) {
	proptest.Holds(t, sharesMatchReference(true))
}

// TestSharesNeedWeights is the control: without weights the property is violated.
func TestSharesNeedWeights(t *testing.T) {
	proptest.Violated(t, sharesMatchReference(false))
}

// TestSharesNamed guards against wrong shares in the plain cases that an operator reads in the log.
func TestSharesNamed(t *testing.T) {
	tests := []struct {
		name     string
		used     []int
		unserved []int
		want     []fairshare.Share
	}{
		{"nobody asks for more", []int{90, 10}, nil, []fairshare.Share{{"account-00", 90, 90, false}, {"account-01", 10, 10, false}}},
		{"the small one asks for more", []int{90, 10}, []int{1}, []fairshare.Share{{"account-00", 90, 50, true}, {"account-01", 10, 50, false}}},
		{"the large one asks for more", []int{90, 10}, []int{0}, []fairshare.Share{{"account-00", 90, 90, false}, {"account-01", 10, 10, false}}},
		{"both ask for more", []int{90, 10}, []int{0, 1}, []fairshare.Share{{"account-00", 90, 50, true}, {"account-01", 10, 50, false}}},
		{"one that has nothing", []int{60, 40, 0}, []int{2}, []fairshare.Share{{"account-00", 60, 33, true}, {"account-01", 40, 33, true}, {"account-02", 0, 33, false}}},
		{"an unused share goes to the others", []int{70, 40, 10}, []int{0, 1}, []fairshare.Share{{"account-00", 70, 55, true}, {"account-01", 40, 55, false}, {"account-02", 10, 10, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr, accounts := fairshare.New(), names(len(tt.used))
			for i, tokens := range tt.used {
				tr.Begin(pool, accounts[i], tokens)
			}
			for _, i := range tt.unserved {
				tr.NoRoom(start, pool, accounts[i])
			}
			if got := tr.Shares(start, pool, accounts); !slices.Equal(got, tt.want) {
				t.Errorf("shares %v, want %v", got, tt.want)
			}
		})
	}
}

func loads(account string, tokens int) []peer.AccountLoad {
	return []peer.AccountLoad{{Key: fairshare.Key(pool, account), Tokens: tokens}}
}

// TestUsage guards against usage that is counted twice or not at all: of requests that ended, of
// placements that a box reports later, and of boxes that are silent.
func TestUsage(t *testing.T) {
	tests := []struct {
		name   string
		change func(tr *fairshare.Tracker)
		want   int
	}{
		{"own and reported", func(*fairshare.Tracker) {}, 130},
		{"an own one ended", func(tr *fairshare.Tracker) { tr.End(pool, "a", 10) }, 120},
		{"the end of one that never began", func(tr *fairshare.Tracker) { tr.End(pool, "b", 10) }, 130},
		{"reported again", func(tr *fairshare.Tracker) { tr.HearLoads(start, "box-2", loads("a", 50)) }, 80},
		{"reports nothing", func(tr *fairshare.Tracker) { tr.HearLoads(start, "box-2", nil) }, 30},
		{"placed for a box", func(tr *fairshare.Tracker) { tr.Place("box-2", pool, "a", 7) }, 137},
		{"placed for a box that reports nothing yet", func(tr *fairshare.Tracker) {
			tr.HearLoads(start, "box-2", nil)
			tr.Place("box-2", pool, "a", 7)
		}, 37},
		{"placed for a box, then reported", func(tr *fairshare.Tracker) {
			tr.Place("box-2", pool, "a", 7)
			tr.HearLoads(start, "box-2", loads("a", 107))
		}, 137},
		{"placed for a box that was never heard", func(tr *fairshare.Tracker) { tr.Place("box-3", pool, "a", 7) }, 130},
		{"placed at a pool that has room", func(tr *fairshare.Tracker) { tr.Place("box-2", "other", "a", 7) }, 130},
		{"a box silent up to the bound", func(tr *fairshare.Tracker) { tr.Expire(start.Add(time.Second), start) }, 130},
		{"a box silent for longer", func(tr *fairshare.Tracker) { tr.Expire(start.Add(time.Second), start.Add(1)) }, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := fairshare.New()
			tr.NoRoom(start, pool, "a")
			tr.Begin(pool, "a", 20)
			tr.Begin(pool, "a", 10)
			tr.HearLoads(start, "box-2", loads("a", 100))
			tt.change(tr)
			if got := tr.Usage(pool, "a"); got != tt.want {
				t.Errorf("uses %d tokens, want %d", got, tt.want)
			}
		})
	}
}

// TestNothingIsKeptOrSent guards against cost while pools have room: no loads in messages, and no
// state once the last request has ended and other boxes report nothing.
func TestNothingIsKeptOrSent(t *testing.T) {
	tr := fairshare.New()
	tr.Begin(pool, "a", 10)
	tr.Begin("other", "a", 10)
	tr.HearLoads(start, "box-2", nil)
	if own, all := tr.Own(start), tr.OwnAndOthers(start, nil); own != nil || all != nil {
		t.Errorf("sends %v and %v while no pool is short", own, all)
	}
	tr.NoRoom(start, pool, "a")
	if own := tr.Own(start); !slices.Equal(own, loads("a", 10)) {
		t.Errorf("sends %v while one pool is short", own)
	}
	tr.HearLoads(start, "box-2", loads("a", 10))
	late := start.Add(fairshare.ShortFor)
	if own := tr.Own(late); own != nil {
		t.Errorf("sends %v after the shortage", own)
	}
	tr.End(pool, "a", 10)
	tr.End("other", "a", 10)
	tr.Expire(late, late)
	if !reflect.DeepEqual(tr, fairshare.New()) {
		t.Errorf("keeps %+v", tr)
	}
}

// TestOwnAndOthers guards against a hub that repeats to other hubs what these reported, which
// would count it once more each round.
func TestOwnAndOthers(t *testing.T) {
	tr := fairshare.New()
	tr.NoRoom(start, pool, "a")
	tr.Begin(pool, "a", 1)
	tr.HearLoads(start, "spoke", loads("a", 10))
	tr.HearLoads(start, "hub", loads("a", 100))
	if got := tr.OwnAndOthers(start, []string{"hub"}); !slices.Equal(got, loads("a", 11)) {
		t.Errorf("reports %v", got)
	}
	if got := tr.Own(start); !slices.Equal(got, loads("a", 1)) {
		t.Errorf("reports %v of its own", got)
	}
}

// TestShort guards against a shortage that lasts on because boxes repeat each other's, and against
// one that ends while any box that places is still short.
func TestShort(t *testing.T) {
	a, b := fairshare.New(), fairshare.New()
	a.NoRoom(start, pool, "x")
	exchange := func(now time.Time) {
		b.HearShort(now, "a", a.ShortHere(now))
		a.HearShort(now, "b", b.ShortHere(now))
		a.Expire(now, now.Add(-time.Second))
		b.Expire(now, now.Add(-time.Second))
	}
	exchange(start)
	if len(b.Short(start)) != 1 || len(b.ShortHere(start)) != 0 {
		t.Errorf("the other box knows of %v, itself %v", b.Short(start), b.ShortHere(start))
	}
	for at := start; at.Before(start.Add(fairshare.ShortFor)); at = at.Add(50 * time.Millisecond) {
		exchange(at)
		if len(b.Short(at)) != 1 {
			t.Fatalf("over after %v", at.Sub(start))
		}
	}
	late := start.Add(fairshare.ShortFor)
	exchange(late)
	if len(a.Short(late)) != 0 || len(b.Short(late)) != 0 {
		t.Errorf("still short: %v, %v", a.Short(late), b.Short(late))
	}
	a.NoRoom(late, pool, "x")
	exchange(late)
	b.Expire(late.Add(time.Second+1), late.Add(1))
	if at := late.Add(time.Second + 1); len(b.Short(at)) != 0 {
		t.Error("still short a second after the box that was short became silent")
	}
}

// TestTransitions guards against lines in the log that lack the other boxes' accounts, come for
// each request, or are missing at the end.
func TestTransitions(t *testing.T) {
	tr := fairshare.New()
	var got []fairshare.Transition
	for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if at.Before(start.Add(3*time.Second)) || at.Equal(start.Add(8*time.Second)) {
			tr.NoRoom(at, pool, "a")
		}
		got = append(got, tr.Expire(at, at.Add(-time.Second))...)
	}
	last := start.Add(2900 * time.Millisecond)
	want := []fairshare.Transition{
		{pool, true, 500 * time.Millisecond, start.Add(500 * time.Millisecond)},
		{pool, false, 4900 * time.Millisecond, last},
		{pool, true, 500 * time.Millisecond, start.Add(8 * time.Second)},
	}
	if !slices.Equal(got, want) {
		t.Errorf("transitions %v, want %v", got, want)
	}
}

// colliding returns two account names with equal keys at the pool.
func colliding(t *testing.T) (first, second string) {
	seen := make(map[uint32]string)
	for i := range 1 << 20 {
		name := fmt.Sprint("client-", i)
		key := fairshare.Key(pool, name)
		if other, known := seen[key]; known {
			return other, name
		}
		seen[key] = name
	}
	t.Fatal("no collision")
	return "", ""
}

// TestCollision guards against accounts with equal hashes that lose usage or are freed of it: both
// seem to use what both use, and the end of one's requests leaves the other's.
func TestCollision(t *testing.T) {
	first, second := colliding(t)
	tr := fairshare.New()
	tr.NoRoom(start, pool, "c")
	tr.Begin(pool, first, 10)
	tr.Begin(pool, second, 5)
	tr.HearLoads(start, "box-2", loads(first, 100))
	if a, b := tr.Usage(pool, first), tr.Usage(pool, second); a != 115 || b != 115 {
		t.Errorf("%s uses %d and %s %d", first, a, second, b)
	}
	if got := tr.Shares(start, pool, []string{first, second, "c"}); len(got) != 2 || got[0] != (fairshare.Share{Account: first, Used: 115, Share: 57, Over: true}) {
		t.Errorf("shares %v", got)
	}
	tr.End(pool, first, 10)
	if got := tr.Usage(pool, second); got != 105 {
		t.Errorf("%s uses %d after the other's request ended", second, got)
	}
}

// TestManyAccounts guards against messages that grow with the number of accounts.
func TestManyAccounts(t *testing.T) {
	tr := fairshare.New()
	tr.NoRoom(start, pool, "a")
	for i := range 1000 {
		tr.Begin(pool, fmt.Sprint(i), 1+i)
	}
	got := tr.Own(start)
	if len(got) != 256 || got[0].Tokens != 1000 || got[255].Tokens != 745 {
		t.Errorf("%d loads from %v to %v", len(got), got[0], got[len(got)-1])
	}
}

// TestYields guards against an account that takes room for which others wait elsewhere though it
// uses more than its share by weight, and against two boxes that leave room to each other.
func TestYields(t *testing.T) {
	type use struct {
		account string
		tokens  int
	}
	tests := []struct {
		name   string
		used   []use
		weight float64 // of account a
		waits  []peer.AccountLoad
		after  time.Duration
		want   map[string]bool
	}{
		{"nothing waits", []use{{"a", 90}, {"b", 10}}, 1, nil, 0, nil},
		{"b waits", []use{{"a", 90}, {"b", 10}}, 1, []peer.AccountLoad{{Key: fairshare.Key(pool, "b"), Waits: 1}}, 0, map[string]bool{"a": true}},
		{"both wait", []use{{"a", 90}, {"b", 10}}, 1, []peer.AccountLoad{{Key: fairshare.Key(pool, "a"), Waits: 1}, {Key: fairshare.Key(pool, "b"), Waits: 1}}, 0, map[string]bool{"a": true}},
		{"c waits and uses nothing", []use{{"a", 50}, {"b", 10}}, 1, []peer.AccountLoad{{Key: fairshare.Key(pool, "c"), Waits: 1}}, 0, map[string]bool{"a": true}},
		{"a has its share by weight", []use{{"a", 90}, {"b", 10}}, 9, []peer.AccountLoad{{Key: fairshare.Key(pool, "b"), Waits: 1}}, 0, nil},
		{"at another pool", []use{{"a", 90}, {"b", 10}}, 1, []peer.AccountLoad{{Key: fairshare.Key("other", "b"), Waits: 1}}, 0, nil},
		{"the report is old", []use{{"a", 90}, {"b", 10}}, 1, []peer.AccountLoad{{Key: fairshare.Key(pool, "b"), Waits: 1}}, 400 * time.Millisecond, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := fairshare.New()
			x.Weight = func(account string) float64 {
				if account == "a" {
					return tt.weight
				}
				return 1
			}
			x.NoRoom(start, pool, "a")
			for _, u := range tt.used {
				x.Begin(pool, u.account, u.tokens)
			}
			x.HearLoads(start, "box-2", tt.waits)
			yields := x.Yields(start.Add(tt.after), pool, func() []string { return []string{"a", "b", "c"} })
			for _, account := range []string{"a", "b", "c"} {
				if got := yields != nil && yields(account, 0); got != tt.want[account] {
					t.Errorf("account %s leaves room: %v", account, got)
				}
			}
		})
	}
}

// TestWaitingIsReported guards against accounts that wait and use nothing or little, and are cut from
// a full report, and against waits that are passed on as a hub's own.
func TestWaitingIsReported(t *testing.T) {
	x := fairshare.New()
	x.NoRoom(start, pool, "a")
	for _, account := range names(300) {
		x.Begin(pool, account, 10)
	}
	x.HearLoads(start, "box-2", []peer.AccountLoad{{Key: fairshare.Key(pool, "b"), Waits: 1}})
	x.SetWaiting([]fairshare.Waiting{{pool, "a", 2}, {pool, "a", 1}})
	list := x.OwnAndOthers(start, nil)
	if len(list) != 256 || list[0] != (peer.AccountLoad{Key: fairshare.Key(pool, "a"), Waits: 2}) {
		t.Fatalf("%d loads, the first %v", len(list), list[0])
	}
	for _, load := range list[1:] {
		if load.Waits != 0 {
			t.Errorf("reports %v", load)
		}
	}
	x.SetWaiting(nil)
	if got := x.Own(start)[0]; got.Waits != 0 {
		t.Errorf("still reports %v", got)
	}
}
