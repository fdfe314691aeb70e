package waitqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/waitqueue"
)

// history plays a sequence of steps against a small queue. Each step is a drawn number that decides
// what is offered or taken and how much time passes. It returns what was violated first.
func history(steps []int, bounded bool, expires bool) string {
	rate := 4000.0
	q := &waitqueue.Queue{
		MaxRequests: 8, MaxBytes: 2000, Draw: func() float64 { return 0.5 },
		FreeRate: func(time.Time) float64 { return rate }, Usage: func(account string) int { return 1000 * len(account) },
	}
	if !bounded {
		q.MaxRequests, q.MaxBytes = 1<<30, 1<<30
	}
	now := start
	offered, ended := 0, map[string]int{}
	end := func(list []waitqueue.Request) {
		for _, r := range list {
			ended[r.ID]++
		}
	}
	for _, step := range steps {
		now = now.Add(time.Duration(step%7) * 100 * time.Millisecond)
		rate = float64(step%5) * 2000
		if step%11 == 0 {
			now = now.Add(2 * time.Second) // The box was paused.
		}
		for range step % 4 {
			offered++
			r := request(fmt.Sprint(offered), []string{"a", "bb", "ccc"}[(step+offered)%3], step%3, now.Sub(start))
			r.BeginBy, r.Bytes, r.Returning = now.Add(time.Duration(step%6)*time.Second), 100*(step%9), step%13 == 0
			d := q.Offer(now, r)
			end(d.Evicted)
			if !d.Admitted {
				ended[r.ID]++
				if d.Reason == "" || d.RetryAfter <= 0 || d.RetryAfter > waitqueue.MaxReturn {
					return fmt.Sprintf("refused with %+v", d)
				}
			}
		}
		if q.Len() > 8 || q.Bytes() > 2000 {
			return fmt.Sprintf("%d requests with %d bytes wait", q.Len(), q.Bytes())
		}
		if expires {
			end(q.Expire(now))
		}
		if r, ok := q.Next(now, nil); ok && step%2 == 0 {
			if now.After(r.BeginBy) {
				return "served too late to end in time"
			}
			if q.IsFirst(now, request("urgent", "zzzz", r.Priority+1, -time.Hour)) {
				return "a less urgent request goes first"
			}
			q.Remove(r.ID)
			ended[r.ID]++
		}
	}
	for id, times := range ended {
		if times != 1 || q.Has(id) {
			return fmt.Sprintf("request %s ended %d times", id, times)
		}
	}
	if len(ended)+q.Len() != offered {
		return fmt.Sprintf("%d ended and %d wait of %d offered", len(ended), q.Len(), offered)
	}
	if q.Len() == 0 && q.Bytes() != 0 {
		return "an empty queue holds bytes"
	}
	return ""
}

// TestHistories guards, whatever comes in whatever order, against requests that are lost or end
// twice, a queue beyond its bounds, and requests served too late.
func TestHistories(t *testing.T) {
	property := func(bounded, expires bool) gopter.Prop {
		return prop.ForAll(func(steps []int) string { return history(steps, bounded, expires) }, gen.SliceOfN(120, gen.IntRange(0, 1<<20)))
	}
	proptest.Holds(t, property(true, true))
	proptest.Violated(t, property(false, true))
	proptest.Violated(t, property(true, false))
}
