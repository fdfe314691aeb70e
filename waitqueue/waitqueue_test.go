package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/thymewind/thymewind/retryafter"
	"github.com/thymewind/thymewind/waitqueue"
)

var start = time.Unix(1000, 0)

// newQueue returns a queue for which some tokens a second become free.
func newQueue(rate float64, usage map[string]int) *waitqueue.Queue {
	rng := rand.New(rand.NewPCG(1, 2))
	return &waitqueue.Queue{
		MaxRequests: 512, MaxBytes: 1 << 20,
		FreeRate: func(time.Time) float64 { return rate }, Usage: func(account string) int { return usage[account] }, Draw: rng.Float64,
	}
}

// request returns a request of 1,000 tokens that came at a time after start and has 8 s for its
// begin, of which 1 s is within its goal.
func request(id, account string, priority int, after time.Duration) waitqueue.Request {
	at := start.Add(after)
	return waitqueue.Request{ID: id, Account: account, Priority: priority, Tokens: 1000, Bytes: 100, Since: at, GoalAt: at.Add(time.Second), BeginBy: at.Add(8 * time.Second)}
}

// drain removes all requests in order and returns their IDs.
func drain(now time.Time, q *waitqueue.Queue) []string {
	var ids []string
	for {
		r, ok := q.Next(now, nil)
		if !ok {
			return ids
		}
		ids = append(ids, r.ID)
		q.Remove(r.ID)
	}
}

// TestOrder guards against requests that are served out of order: an urgent one behind others, an
// account starved by one that asks for more, an answer in time given up for a late one.
func TestOrder(t *testing.T) {
	tests := []struct {
		name  string
		usage map[string]int
		list  []waitqueue.Request
		want  []string
	}{
		{"first come, first served", nil, []waitqueue.Request{request("b", "x", 1, 20), request("a", "x", 1, 10)}, []string{"a", "b"}},
		{"priority first", nil, []waitqueue.Request{request("a", "x", 2, 0), request("b", "x", 0, 10)}, []string{"b", "a"}},
		{"what leaves a reserve goes last", nil, []waitqueue.Request{func() waitqueue.Request {
			r := request("a", "x", 0, 0)
			r.LeavesReserve = true
			return r
		}(), request("b", "x", 1, 10)}, []string{"b", "a"}},
		{"the route's priority among requests of one priority", map[string]int{"y": 5000}, []waitqueue.Request{func() waitqueue.Request {
			r := request("a", "x", 1, 0)
			r.RoutePriority = 2
			return r
		}(), request("b", "y", 1, 10)}, []string{"b", "a"}},
		{"the account that uses least", map[string]int{"x": 5000, "y": 10}, []waitqueue.Request{request("a", "x", 1, 0), request("b", "y", 1, 10)}, []string{"b", "a"}},
		{
			"accounts in turn", nil,
			[]waitqueue.Request{request("a", "x", 1, 0), request("b", "x", 1, 1), request("c", "x", 1, 2), request("d", "y", 1, 3)},
			[]string{"a", "d", "b", "c"},
		},
		{
			"an urgent request counts for its account", nil,
			[]waitqueue.Request{request("a", "x", 0, 0), request("b", "x", 1, 1), request("c", "y", 1, 2)},
			[]string{"a", "c", "b"},
		},
		{"the goal can be met", nil, []waitqueue.Request{request("a", "x", 1, -2*time.Second), request("b", "x", 1, 0)}, []string{"b", "a"}},
		{"a returning caller keeps its first time", nil, []waitqueue.Request{request("a", "x", 1, 0), func() waitqueue.Request {
			r := request("b", "x", 1, 500*time.Millisecond)
			r.Since, r.Returning = start.Add(-time.Second), true
			return r
		}()}, []string{"b", "a"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(10000, tt.usage)
			for _, r := range tt.list {
				if d := q.Offer(start, r); !d.Admitted {
					t.Fatalf("%s was refused: %+v", r.ID, d)
				}
			}
			if got := drain(start.Add(100*time.Millisecond), q); !slices.Equal(got, tt.want) {
				t.Errorf("order %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPrediction guards against requests that wait although they can't be served in time, and
// against refusals of those that can.
func TestPrediction(t *testing.T) {
	tests := []struct {
		name     string
		rate     float64
		queued   int
		left     time.Duration
		wait     time.Duration
		admitted bool
	}{
		{"empty queue", 1000, 0, 8 * time.Second, 0, true},
		{"empty queue, nothing becomes free", 0, 0, 8 * time.Second, 0, true},
		{"a burst that is served in time", 2000, 10, 8 * time.Second, 5 * time.Second, true},
		{"a burst that is served too late", 1000, 10, 8 * time.Second, 10 * time.Second, false},
		{"engines were lost", 0, 1, 8 * time.Second, time.Hour, false},
		{"no time left", 1000, 0, -time.Millisecond, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(1e9, nil)
			for i := range tt.queued {
				q.Offer(start, request(fmt.Sprint("q", i), "x", 1, 0))
			}
			q.FreeRate = func(time.Time) float64 { return tt.rate }
			r := request("r", "x", 1, time.Millisecond)
			r.BeginBy = start.Add(tt.left)
			if got := q.Predict(start, r); got != tt.wait {
				t.Errorf("predicted %v, want %v", got, tt.wait)
			}
			if d := q.Offer(start, r); d.Admitted != tt.admitted {
				t.Errorf("admitted: %+v", d)
			}
		})
	}
}

// TestFull guards against a full queue that grows, that refuses what goes before others, or that
// gives up more than it must.
func TestFull(t *testing.T) {
	returning := request("r", "x", 1, time.Second)
	returning.Since, returning.Returning = start.Add(-time.Second), true
	behind := returning
	behind.Account = "z"
	large := request("r", "x", 0, 0)
	large.Bytes = 1100
	tests := []struct {
		name     string
		offered  waitqueue.Request
		admitted bool
		evicted  []string
	}{
		{"goes last", request("r", "x", 1, time.Second), false, nil},
		{"more urgent", request("r", "x", 0, time.Second), true, []string{"q9"}},
		{"account without requests", request("r", "y", 1, time.Second), true, []string{"q9"}},
		{"returning", returning, true, []string{"q9"}},
		{"returning of an account that uses most", behind, true, []string{"q9"}},
		{"larger than all together", large, false, nil},
		{"larger than one", func() waitqueue.Request { r := large; r.Bytes = 250; return r }(), true, []string{"q9", "q8", "q7"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(1e6, map[string]int{"z": 1e6})
			q.MaxRequests, q.MaxBytes = 10, 1000
			for i := range 10 {
				q.Offer(start, request(fmt.Sprint("q", i), "x", 1, time.Duration(i)))
			}
			d := q.Offer(start.Add(time.Second), tt.offered)
			var evicted []string
			for _, r := range d.Evicted {
				evicted = append(evicted, r.ID)
			}
			if d.Admitted != tt.admitted || !slices.Equal(evicted, tt.evicted) {
				t.Errorf("decision %+v", d)
			}
			if !d.Admitted && (d.RetryAfter <= 0 || d.Reason == "") {
				t.Errorf("refused without a reason or a return time: %+v", d)
			}
			if q.Len() > 10 || q.Bytes() > 1000 {
				t.Errorf("%d requests with %d bytes wait", q.Len(), q.Bytes())
			}
		})
	}
}

// TestExpire guards against requests that wait until their deadline has passed, and against
// requests dropped because the rate varied a little.
func TestExpire(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		rate  float64
		want  []string
	}{
		{"all can begin", 0, 2000, nil},
		{"the rate fell a little", 0, 1000, nil},
		{"engines were lost, the last can't begin in time", 0, 500, []string{"q6", "q7", "q8", "q9"}},
		{"nothing is known of the rate", 0, 0, nil},
		{"the box was paused beyond the deadline", 9 * time.Second, 1e9, []string{"q0", "q1", "q2", "q3", "q4", "q5", "q6", "q7", "q8", "q9"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := newQueue(2000, nil)
			for i := range 10 {
				q.Offer(start, request(fmt.Sprint("q", i), "x", 1, time.Duration(i)))
			}
			q.FreeRate = func(time.Time) float64 { return tt.rate }
			var got []string
			for _, r := range q.Expire(start.Add(tt.after)) {
				got = append(got, r.ID)
			}
			if !slices.Equal(got, tt.want) || q.Len() != 10-len(tt.want) {
				t.Errorf("expired %v, want %v", got, tt.want)
			}
		})
	}
}

// TestReturnTimes guards against callers who are told to return into the same burst, all at the
// same time, or later than they do.
func TestReturnTimes(t *testing.T) {
	if waitqueue.MaxReturn != retryafter.MaxOutage {
		t.Fatal("the longest return time is not the project's")
	}
	q := newQueue(20000, nil)
	q.MaxRequests = 10
	for i := range 10 {
		q.Offer(start, request(fmt.Sprint("q", i), "x", 1, 0))
	}
	var times []time.Duration
	for i := range 20 { // 20 requests of 1,000 tokens take a second.
		d := q.Offer(start, request(fmt.Sprint("r", i), "x", 1, time.Millisecond))
		if d.Admitted || d.RetryAfter > waitqueue.MaxReturn {
			t.Fatalf("decision %+v", d)
		}
		times = append(times, d.RetryAfter)
	}
	if last := slices.Max(times); last < 400*time.Millisecond || last > time.Second {
		t.Errorf("the last returns after %v, but the room suffices after 1 s", last)
	}
	slices.Sort(times)
	if times[10]-times[2] < 50*time.Millisecond {
		t.Errorf("callers return together: %v", times)
	}
	r := request("late", "x", 1, time.Second)
	r.BeginBy = start.Add(200 * time.Millisecond)
	if d := q.Offer(start, r); d.Admitted || d.RetryAfter != waitqueue.MaxReturn || d.Reason == "" {
		t.Errorf("no room is predicted before the deadline, but: %+v", d)
	}
}

// TestBurst plays a burst of 6 s at twice the rate at which memory becomes free, of requests with
// a deadline of 10 s. Callers that are refused return once, when told. It guards against a queue
// that serves fewer than there is room for, that has requests wait in vain, and that serves late
// requests before those that can be in time.
func TestBurst(t *testing.T) {
	const rate = 100 // requests of 1,000 tokens a second.
	q := newQueue(rate*1000, nil)
	served, inTime, late, refused, n := 0, 0, 0, 0, 0
	returns := make(map[int][]waitqueue.Request) // By the step at which they come.
	give := func(ms int, r waitqueue.Request, after time.Duration) {
		if r.Returning {
			refused++
			return
		}
		r.Returning = true
		step := (ms + int(after.Milliseconds())) / 10 * 10
		r.BeginBy = start.Add(time.Duration(step)*time.Millisecond + 4*time.Second)
		returns[step] = append(returns[step], r)
	}
	for ms := 0; ms < 16000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		offered := returns[ms]
		if ms < 6000 {
			for range 2 {
				n++
				r := request(fmt.Sprint("r", n), fmt.Sprint("a", n%5), 1, now.Sub(start))
				r.Until, r.BeginBy = now.Add(10*time.Second), now.Add(4*time.Second)
				offered = append(offered, r)
			}
		}
		for _, r := range offered {
			d := q.Offer(now, r)
			for _, e := range d.Evicted {
				give(ms, e, q.Refuse(now, e).RetryAfter)
			}
			if !d.Admitted {
				give(ms, r, d.RetryAfter)
			}
		}
		for _, r := range q.Expire(now) {
			late++
			give(ms, r, q.Refuse(now, r).RetryAfter)
		}
		if r, ok := q.Next(now, nil); ok {
			if now.After(r.BeginBy) {
				t.Fatalf("%s was served %v late", r.ID, now.Sub(r.BeginBy))
			}
			q.Remove(r.ID)
			served++
			if !now.After(r.GoalAt) {
				inTime++
			}
		}
	}
	t.Logf("of %d requests %d were served, %d of them in time, %d refused for good; %d waited in vain", n, served, inTime, refused, late)
	if served < 1090 || served+refused != n || q.Len() != 0 {
		t.Errorf("served %d, refused %d of %d", served, refused, n)
	}
	if inTime < 350 { // Half of those for which there is room within their goals.
		t.Errorf("%d were served in time", inTime)
	}
	if late > n/20 {
		t.Errorf("%d waited in vain", late)
	}
}

// TestLargeAccount has one account ask for three times its share. It guards against the others
// losing room to it.
func TestLargeAccount(t *testing.T) {
	usage := map[string]int{}
	q := newQueue(40000, usage)
	type running struct {
		account string
		until   time.Time
	}
	var run []running
	served, asked, n := map[string]int{}, map[string]int{}, 0
	for ms := 0; ms < 10000; ms += 25 { // Room for one request in 25 ms, each of which runs for 1 s.
		now := start.Add(time.Duration(ms) * time.Millisecond)
		run = slices.DeleteFunc(run, func(r running) bool {
			if over := !now.Before(r.until); over {
				usage[r.account] -= 1000
				return true
			}
			return false
		})
		for account, every := range map[string]int{"large": 33, "a": 100, "b": 100, "c": 100} {
			if ms/25*25%every < 25 {
				n++
				asked[account]++
				q.Offer(now, request(fmt.Sprint(n), account, 1, now.Sub(start)))
			}
		}
		q.Expire(now)
		if r, ok := q.Next(now, nil); ok {
			q.Remove(r.ID)
			served[r.Account]++
			usage[r.Account] += 1000
			run = append(run, running{r.Account, now.Add(time.Second)})
		}
	}
	t.Logf("asked %v, served %v", asked, served)
	for _, account := range []string{"a", "b", "c"} {
		if served[account] < asked[account]*95/100 {
			t.Errorf("%s: served %d of %d", account, served[account], asked[account])
		}
	}
	if served["large"] == 0 {
		t.Error("the large account is starved")
	}
}
