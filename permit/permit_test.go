package permit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/thymewind/thymewind/permit"
)

var start = time.Unix(1000, 0)

// brittleFor is long enough for requests to be bounded.
const brittleFor = time.Minute

// clock is a time that a test sets.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) set(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = start.Add(after)
}

// ask asks for a box without a wait.
func ask(k *permit.Keeper, c *clock, box string, epoch, number uint64, targets ...string) permit.Answer {
	a := permit.Ask{Box: box, Epoch: epoch, Number: number, Group: "g", Bears: 4, BrittleFor: brittleFor}
	for _, key := range targets {
		a.Targets = append(a.Targets, permit.Target{Key: key, Places: 6})
	}
	return k.Ask(context.Background(), c.read, a)
}

// TestLearns has a keeper that has just begun to keep a target give one permit at a time, as other boxes may
// have requests there that it does not know.
func TestLearns(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	if got := ask(k, c, "a", 1, 1, "x"); got.Target != "x" {
		t.Fatalf("the first gets %+v", got)
	}
	if got := ask(k, c, "b", 1, 1, "x"); got.Target != "" || got.Pause <= 0 {
		t.Errorf("the second gets %+v", got)
	}
}

// TestHeldByOtherBoxes guards against room that is given out twice: to a box that takes over, to another start
// of a box, or because a report was lost.
func TestHeldByOtherBoxes(t *testing.T) {
	tests := []struct {
		name string
		then func(k *permit.Keeper, c *clock)
		want int
	}{
		{"nothing", func(*permit.Keeper, *clock) {}, 1},
		{"it ends", func(k *permit.Keeper, c *clock) {
			k.Report(c.read(), "a", 1, []permit.Report{{Number: 1, End: permit.Answered}})
		}, 0},
		{"it ends twice", func(k *permit.Keeper, c *clock) {
			k.Report(c.read(), "a", 1, []permit.Report{{Number: 1, End: permit.Answered}, {Number: 1, End: permit.Answered}})
		}, 0},
		{"its box holds others besides", func(k *permit.Keeper, c *clock) {
			k.Renew(c.read(), "a", 1, 7, []permit.Renewal{{Number: 1, Target: permit.Target{Key: "x", Places: 6}, Bears: 4, BrittleFor: brittleFor}, {Number: 7, Target: permit.Target{Key: "x", Places: 6}, Bears: 4, BrittleFor: brittleFor}})
		}, 2},
		{"its box holds none", func(k *permit.Keeper, c *clock) { k.Renew(c.read(), "a", 1, 1, nil) }, 0},
		{"its box did not know it yet", func(k *permit.Keeper, c *clock) { k.Renew(c.read(), "a", 1, 0, nil) }, 1},
		{"an older renewal comes after its end", func(k *permit.Keeper, c *clock) {
			k.Report(c.read(), "a", 1, []permit.Report{{Number: 1, End: permit.Answered}})
			k.Renew(c.read(), "a", 1, 1, []permit.Renewal{{Number: 1, Target: permit.Target{Key: "x", Places: 6}, Bears: 4, BrittleFor: brittleFor}})
		}, 0},
		{"its box starts again", func(k *permit.Keeper, c *clock) { k.Renew(c.read(), "a", 2, 0, nil) }, 0},
		{"its box is silent", func(k *permit.Keeper, c *clock) { c.set(3 * time.Second); k.Expire(c.read()) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, c := &permit.Keeper{}, &clock{now: start}
			ask(k, c, "a", 1, 1, "x")
			tt.then(k, c)
			if got, _ := k.Held(); got != tt.want {
				t.Errorf("%d permits are held, want %d", got, tt.want)
			}
		})
	}
}

// TestUnansweredCounts guards against a target that gets a request in place of each that it does not answer.
func TestUnansweredCounts(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	ask(k, c, "a", 1, 1, "x")
	k.Report(c.read(), "a", 1, []permit.Report{{Number: 1, End: permit.Unanswered}})
	if got := ask(k, c, "a", 1, 2, "x"); got.Target != "" {
		t.Errorf("another one gets %+v at once", got)
	}
	c.set(2 * time.Second)
	if got := ask(k, c, "a", 1, 3, "x"); got.Target != "x" {
		t.Errorf("another one gets %+v two seconds later", got)
	}
}

// TestAlternatives has a request that can't go to its target go to another one.
func TestAlternatives(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	if got := ask(k, c, "a", 1, 1, "x", "y"); got.Target != "x" {
		t.Fatalf("the first goes to %+v", got)
	}
	if got := ask(k, c, "a", 1, 2, "x", "y"); got.Target != "y" {
		t.Errorf("the second goes to %+v", got)
	}
}

// TestEmptiestAlternative has a request that can't go to its target go to the one with the fewest requests.
func TestEmptiestAlternative(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	number := uint64(0)
	next := func(keys ...string) string {
		number++
		a := permit.Ask{Box: "a", Number: number, Group: "g", Bears: 4}
		for _, key := range keys {
			a.Targets = append(a.Targets, permit.Target{Key: key, Places: 6})
		}
		return k.Ask(context.Background(), c.read, a).Target
	}
	for key, n := range map[string]int{"x": 8, "y": 5, "z": 3} { // More don't go to x.
		for range n {
			next(key)
		}
	}
	if got := next("x", "y", "z"); got != "z" {
		t.Errorf("it goes to %q", got)
	}
}

// TestUrgentFirst has the most urgent of the requests that wait get the room that comes, and a less urgent one
// make place for it.
func TestUrgentFirst(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	ask(k, c, "a", 1, 1, "x")
	answers := make(chan string, 2)
	wait := func(number uint64, urgency int, name string) {
		a := permit.Ask{Box: "a", Epoch: 1, Number: number, Group: "g", Bears: 4, BrittleFor: brittleFor, Urgency: urgency, Wait: 5 * time.Second, Targets: []permit.Target{{Key: "x", Places: 6}}}
		if k.Ask(context.Background(), c.read, a).Target != "" {
			answers <- name
			return
		}
		answers <- name + " is denied"
	}
	waits := func(n int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); k.Waiting() != n; {
			if time.Now().After(end) {
				t.Fatalf("%d wait, want %d", k.Waiting(), n)
			}
			<-time.After(time.Millisecond)
		}
	}
	for n := range uint64(3) { // So that two may wait.
		ask(k, c, "a", 1, 100+n, string(rune('p'+n)))
	}
	go wait(2, 5, "the first")
	waits(1)
	go wait(3, 1, "the urgent one")
	waits(2)
	k.Report(c.read(), "a", 1, []permit.Report{{Number: 1, End: permit.Answered}})
	if got := <-answers; got != "the urgent one" {
		t.Errorf("%s goes first", got)
	}
	k.Report(c.read(), "a", 1, []permit.Report{{Number: 3, End: permit.Answered}})
	if got := <-answers; got != "the first" {
		t.Errorf("%s goes second", got)
	}
}

// TestRoomBeforeBrittle bounds requests by what a target is ever tried with alone while it has just become
// brittle: until then it turned none away for that.
func TestRoomBeforeBrittle(t *testing.T) {
	for _, tt := range []struct {
		brittleFor time.Duration
		want       int
	}{{0, 8}, {2 * time.Second, 1}} { // Of six places, and two more.
		k, c := &permit.Keeper{}, &clock{now: start}
		for n := range uint64(12) {
			k.Ask(context.Background(), c.read, permit.Ask{Box: "a", Number: n + 1, Group: "g", Bears: 4, BrittleFor: tt.brittleFor, Targets: []permit.Target{{Key: "x", Places: 6}}})
		}
		if got, _ := k.Held(); got != tt.want {
			t.Errorf("%v after the pool became brittle %d requests have a permit, want %d", tt.brittleFor, got, tt.want)
		}
	}
}

// TestCrowdIsDenied has requests that can't get room within their wait be denied at once, the least urgent first.
func TestCrowdIsDenied(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	ask(k, c, "a", 1, 1, "x")
	answers := make(chan uint64, 200)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	wait := func(number uint64, urgency int) {
		callers.Go(func() {
			k.Ask(ctx, c.read, permit.Ask{Box: "a", Epoch: 1, Number: number, Group: "g", Bears: 4, BrittleFor: brittleFor, Urgency: urgency, Wait: 10 * time.Second, Targets: []permit.Target{{Key: "x", Places: 6}}})
			answers <- number
		})
	}
	waiting := func(n int) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); k.Waiting() != n; {
			if time.Now().After(end) {
				t.Fatalf("%d wait, want %d", k.Waiting(), n)
			}
			<-time.After(time.Millisecond)
		}
	}
	most := 0
	for n := range uint64(100) {
		wait(10+n, 5)
		before := most
		for end := time.Now().Add(5 * time.Second); k.Waiting() == before && len(answers) == 0 && time.Now().Before(end); {
			<-time.After(time.Millisecond)
		}
		if most = k.Waiting(); most == before {
			break
		}
	}
	if got := <-answers; got != uint64(10+most) {
		t.Errorf("with %d waiting, request %d is denied", most, got)
	}
	wait(200, 1)
	if got := <-answers; got != uint64(10+most-1) {
		t.Errorf("for a more urgent one request %d is denied, want the last of the others", got)
	}
	waiting(most)
	cancel()
	callers.Wait()
}

// TestWaitsForSureRoom has a request that may wait be tried at a target only once no surer room has come for a part
// of its wait, and then without waiting to the end.
func TestWaitsForSureRoom(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	ask(k, c, "a", 1, 1, "x")
	c.set(2 * time.Second) // It is known what the others hold.
	answer := make(chan permit.Answer, 1)
	go func() {
		answer <- k.Ask(context.Background(), c.read, permit.Ask{Box: "a", Epoch: 1, Number: 2, Group: "g", Bears: 4, BrittleFor: brittleFor, Wait: 8 * time.Second, Targets: []permit.Target{{Key: "x", Places: 6}}})
	}()
	for k.Waiting() == 0 && len(answer) == 0 {
		<-time.After(time.Millisecond)
	}
	k.Renew(c.read(), "a", 1, 1, []permit.Renewal{{Number: 1, Target: permit.Target{Key: "x", Places: 6}, Bears: 4, BrittleFor: brittleFor}})
	if len(answer) > 0 {
		t.Fatalf("it gets %+v at once", <-answer)
	}
	from := time.Now()
	c.set(7 * time.Second)
	if got := <-answer; got.Target != "x" || !got.Tell {
		t.Errorf("it gets %+v", got)
	}
	if took := time.Since(from); took > 6*time.Second {
		t.Errorf("it waits to its end, %v", took)
	}
}

// TestPauseGrowsWithBoxes keeps what a crowd of boxes asks in all within bounds.
func TestPauseGrowsWithBoxes(t *testing.T) {
	k, c := &permit.Keeper{}, &clock{now: start}
	ask(k, c, "a", 1, 1, "x")
	few := ask(k, c, "b", 1, 1, "x").Pause
	for n := range 330 {
		ask(k, c, fmt.Sprint("box-", n), 1, 1, "x")
	}
	if many := ask(k, c, "b", 1, 2, "x").Pause; few <= 0 || many < 300*time.Millisecond {
		t.Errorf("a denied box pauses for %v among few and %v among 330", few, many)
	}
}

// TestLateAsk guards against room that is held for a request which its box has given up, as the ask was late.
func TestLateAsk(t *testing.T) {
	for _, tt := range []struct {
		name   string
		number uint64
		epoch  uint64
		want   string
	}{{"given up", 7, 1, ""}, {"another request", 8, 1, "x"}, {"of another start of the box", 7, 2, "x"}} {
		k, c := &permit.Keeper{}, &clock{now: start}
		k.Report(c.now, "a", 1, []permit.Report{{Number: 7, End: permit.NotSent}})
		if got := ask(k, c, "a", tt.epoch, tt.number, "x"); got.Target != tt.want {
			t.Errorf("%s: the permit is for %q, want %q", tt.name, got.Target, tt.want)
		}
	}
}

// TestGivenUpWhileWaiting is TestLateAsk with an ask that waits at the keeper as its box gives it up.
func TestGivenUpWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &permit.Keeper{}
		first := permit.Ask{Box: "a", Epoch: 1, Number: 1, Group: "g", Targets: []permit.Target{{Key: "x", Places: 6}}, Bears: 4, BrittleFor: brittleFor}
		k.Ask(t.Context(), time.Now, first)
		waits := first
		waits.Number, waits.Wait = 2, 100*time.Millisecond
		answered := make(chan permit.Answer)
		go func() { answered <- k.Ask(t.Context(), time.Now, waits) }()
		time.Sleep(10 * time.Millisecond)
		k.Report(time.Now(), "a", 1, []permit.Report{{Number: 2, End: permit.NotSent}, {Number: 1, End: permit.Answered}})
		if got := <-answered; got.Target != "" {
			t.Errorf("it gets a permit for %q", got.Target)
		}
	})
}
