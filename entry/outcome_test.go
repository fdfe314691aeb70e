package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/logqueue"
	"github.com/thymewind/thymewind/routing"
)

// recordedOutcome is the outcome of a request of an account on the route "long" of the pool
// "models", changed as a test needs it.
func recordedOutcome(change func(*deliver.Outcome)) deliver.Outcome {
	j := job("long", 100)
	j.Account = &routing.Account{Name: "tenant-7"}
	o := deliver.Outcome{
		Call: j.Call, Job: j, Route: j.Route, Account: j.Account, Pool: j.Pool, Status: 200, HasGoal: true, Events: 3, Pause: 40 * time.Millisecond,
		Place: deliver.Placement{Target: "a", NextBest: "b", NextBestCost: 12345 * time.Microsecond},
	}
	change(&o)
	return o
}

// TestRequestLine checks the fields of the log line of a request. It guards against an operator who
// can't see whose request was late or refused and why, and against a judgment of answers that are
// incomplete.
func TestRequestLine(t *testing.T) {
	refused := func(o *deliver.Outcome) {
		o.Status, o.Cause, o.RefusalCode, o.HasGoal = 503, "crowded", "crowded", false
	}
	tests := []struct {
		name    string
		change  func(*deliver.Outcome)
		want    []string
		without []string
	}{
		{"in time", func(*deliver.Outcome) {}, []string{"request=r ", "route=long", "account=tenant-7", "priority=2", "waited=0s", "pause=40ms", "in_goal=true", "late_by=", "resumed=0", "next_best=b", "next_best_cost=12ms"}, nil},
		{"the account has a priority of its own", func(o *deliver.Outcome) { o.Account.Priority, o.Account.HasPriority = 0, true }, []string{"priority=0"}, nil},
		{"an open route", func(o *deliver.Outcome) { o.Account = nil }, []string{"account=", "priority=2"}, nil},
		{"waited", func(o *deliver.Outcome) { o.Waited = 1500 * time.Millisecond }, []string{"waited=1.5s"}, nil},
		{"late first event", func(o *deliver.Outcome) { o.LateBy = deliver.LateFirst }, []string{"in_goal=false", "late_by=first"}, nil},
		{"preempted", func(o *deliver.Outcome) { o.LateBy = deliver.LatePause }, []string{"in_goal=false", "late_by=pause", "resumed=0"}, nil},
		{"late by a resumption", func(o *deliver.Outcome) { o.LateBy, o.Resumed = deliver.LateResumed, 1 }, []string{"in_goal=false", "late_by=pause", "resumed=1"}, nil},
		{"no goal", func(o *deliver.Outcome) { o.HasGoal = false }, []string{"pause=40ms"}, []string{"in_goal="}},
		{"broken off", func(o *deliver.Outcome) { o.Aborted, o.Cause, o.HasGoal = true, "EOF", false }, []string{"pause=40ms", "late_by="}, []string{"in_goal="}},
		{"the caller left after the last event", func(o *deliver.Outcome) { o.CallerLeft, o.LateBy = true, deliver.LateFirst }, []string{"late_by="}, []string{"in_goal="}},
		{"refused", refused, []string{"cause=crowded", "route=long", "account=tenant-7", "priority=2", "pool=models"}, []string{"in_goal="}},
		{"refused before it was admitted", func(o *deliver.Outcome) { refused(o); o.Job = nil }, []string{"route=long", "account=tenant-7", "pool=models"}, []string{"in_goal=", "next_best"}},
		{"no route", func(o *deliver.Outcome) { refused(o); o.Job, o.Route, o.Account, o.Pool = nil, nil, nil, nil }, []string{"route=", "account=", "priority=", "pool="}, []string{"next_best"}},
		{"a plain service", func(o *deliver.Outcome) {
			o.Job.Pool = &routing.Pool{Name: "orders"}
			o.Pool, o.Job.Parts = o.Job.Pool, nil
		}, []string{"pool=orders"}, []string{"next_best"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			d := newDaemon("b1")
			d.Log = log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter})
			d.recordOutcome(recordedOutcome(tt.change))
			line := strings.TrimSpace(out.String()) + " "
			for _, text := range tt.want {
				if !strings.Contains(line, " "+strings.TrimSpace(text)+" ") {
					t.Errorf("%s lacks %s", line, text)
				}
			}
			for _, text := range tt.without {
				if strings.Contains(line, text) {
					t.Errorf("%s has %s", line, text)
				}
			}
		})
	}
}

// TestRequestMetrics checks the metrics by pool and priority. It guards against losses that can't be
// attributed to a priority, late answers without a cause, and a client account in a label.
func TestRequestMetrics(t *testing.T) {
	tests := []struct {
		name   string
		change func(*deliver.Outcome)
		// want are the values of the series that change; a histogram's is its sum.
		want map[string]float64
	}{
		{"in time", func(*deliver.Outcome) {}, map[string]float64{"wait/models/2": 0, "pause/models/2": 0.04}},
		{"waited", func(o *deliver.Outcome) { o.Waited = 2 * time.Second }, map[string]float64{"wait/models/2": 2, "pause/models/2": 0.04}},
		{"one event has no pause", func(o *deliver.Outcome) { o.Events, o.Pause = 1, 0 }, map[string]float64{"wait/models/2": 0}},
		{"late first event", func(o *deliver.Outcome) { o.LateBy = deliver.LateFirst }, map[string]float64{"wait/models/2": 0, "pause/models/2": 0.04, "late/models/2/first": 1}},
		{"preempted", func(o *deliver.Outcome) { o.LateBy = deliver.LatePause }, map[string]float64{"wait/models/2": 0, "pause/models/2": 0.04, "late/models/2/pause": 1}},
		{"resumed", func(o *deliver.Outcome) { o.LateBy = deliver.LateResumed }, map[string]float64{"wait/models/2": 0, "pause/models/2": 0.04, "late/models/2/resumed": 1}},
		{"refused", func(o *deliver.Outcome) {
			o.Cause, o.RefusalCode, o.HasGoal, o.Events = "crowded", "crowded", false, 0
		}, map[string]float64{"wait/models/2": 0, "refused/models/2/crowded": 1}},
		{"refused before it was admitted", func(o *deliver.Outcome) {
			o.Cause, o.RefusalCode, o.HasGoal, o.Events, o.Job = "no_time", "no_time", false, 0, nil
		}, map[string]float64{"refused/models/2/no_time": 1}},
		{"no route", func(o *deliver.Outcome) {
			*o = deliver.Outcome{Call: o.Call, Cause: "no_route", RefusalCode: "no_route"}
		}, map[string]float64{"refused///no_route": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon("b1")
			d.recordOutcome(recordedOutcome(tt.change))
			got := requestMetrics(t, d)
			if len(got) != len(tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			for series, value := range tt.want {
				if v, ok := got[series]; !ok || v != value {
					t.Errorf("%s is %v, %v", series, v, ok)
				}
			}
		})
	}
}

// requestMetrics returns the values of the metrics by priority, for histograms the sums, and fails if
// any metric names the client account.
func requestMetrics(t *testing.T, d *Daemon) map[string]float64 {
	t.Helper()
	names := map[string]string{
		"thymewind_entry_wait_seconds": "wait", "thymewind_entry_pause_seconds": "pause",
		"thymewind_entry_refused_total": "refused", "thymewind_entry_late_total": "late",
	}
	order := []string{"pool", "priority", "code", "cause"}
	families, err := d.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	series := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			labels := make(map[string]string)
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
				if l.GetValue() == "tenant-7" || l.GetName() == "account" {
					t.Errorf("%s names the account", f.GetName())
				}
			}
			key, known := names[f.GetName()]
			if !known {
				continue
			}
			for _, name := range order {
				if value, ok := labels[name]; ok {
					key += "/" + value
				}
			}
			series[key] = m.GetCounter().GetValue() + m.GetHistogram().GetSampleSum()
		}
	}
	return series
}

// stuckOutput takes no line until the test ends.
type stuckOutput struct{ until chan struct{} }

func (s stuckOutput) Write(p []byte) (int, error) {
	<-s.until
	return len(p), nil
}

// TestRecordsDoNotBlock records outcomes while the log's output takes nothing. It guards against
// requests that wait for their own record.
func TestRecordsDoNotBlock(t *testing.T) {
	output := stuckOutput{make(chan struct{})}
	queue := logqueue.Queue{Output: output, Capacity: 4}
	go queue.Run()
	defer close(output.until)
	d := newDaemon("b1")
	d.Log = log.New(&queue)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 500 {
			d.recordOutcome(recordedOutcome(func(o *deliver.Outcome) { o.RefusalCode, o.Cause = "crowded", "crowded" }))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a request waits for the log")
	}
}

// TestLogVolume records many answers at once, all of them late. It guards against the new causes
// making lines that the limit does not cover.
func TestLogVolume(t *testing.T) {
	var out bytes.Buffer
	d := newDaemon("b1")
	d.Log = log.New(&out)
	d.logLimiter = rate.NewLimiter(0, answerLogRate) // Only the burst, however long the test takes.
	for range 10 * answerLogRate {
		d.recordOutcome(recordedOutcome(func(o *deliver.Outcome) { o.LateBy = deliver.LatePause }))
	}
	if lines := bytes.Count(out.Bytes(), []byte("\n")); lines != answerLogRate {
		t.Errorf("%d lines", lines)
	}
	if got := requestMetrics(t, d)["late/models/2/pause"]; got != 10*answerLogRate {
		t.Errorf("counted %v late answers", got)
	}
}
