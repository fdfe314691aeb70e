package thymewind

import (
	"errors"
	"maps"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// A model request may take down each engine that begins to run it, and come again at any
// box. What it did counts for all requests of its account for the same, over all boxes as
// far as gossip has got: it is news for endedNews at each box that hears of it, so that it
// goes round, and then comes to an end.

const (
	// announceFor is how long a box tells on that an engine ended under requests, or that
	// a request was answered after all.
	announceFor = 30 * time.Second
	// maxCrashReports bounds the ends told in one message, maxSums the requests of each, and
	// maxLifted the answered ones: some 5 KB in all, right after crashes only.
	maxCrashReports  = 8
	maxFingerprints   = 32
	maxLifted = 16
)

// crashState is what this box knows of requests that take engines down.
type crashState struct {
	tracker crash.Tracker
	quarantine  quarantine.List
	// incarnations counts the lives of each engine that this box saw end.
	incarnations map[string]int
	// reports are the ends that are told on, lifted the requests that were answered,
	// with since when this box knows.
	reports  map[string]crashReport
	lifted map[fingerprint.Sum]time.Time
}

// crashReport is one engine's end.
type crashReport struct {
	fingerprints []fingerprint.Sum
	at   time.Time
}

func newCrashState() crashState {
	return crashState{incarnations: make(map[string]int), reports: make(map[string]crashReport), lifted: make(map[fingerprint.Sum]time.Time)}
}

// incarnation names the life of an engine that this box knows: an engine does not tell.
func (k *crashState) incarnation(box, engine string) string {
	return box + "/" + engine + "/" + strconv.Itoa(k.incarnations[engine])
}

// place places a request, unless engines ended under its like.
func (d *Daemon) place(now time.Time, t *tables, ask route.Ask) (route.Placed, error) {
	k := &t.crashes
	if ask.Model != "" && k.quarantine.Len()+k.tracker.Len() > 0 {
		if sum := ask.Fingerprint(); k.quarantine.Refuses(now, sum, k.tracker.Suspects(sum)) {
			return route.Placed{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "quarantined",
				"%d engines ended while requests for the same ran there", quarantine.Threshold).After(quarantineRetryAfter)
		}
	}
	placed, err := t.Place(now, ask)
	placed.Ask = ask
	return placed, err
}

// quarantineRetryAfter is when a caller should return who asks for what takes engines down.
// Nothing is won by asking sooner.
const quarantineRetryAfter = time.Minute

// recordLiveness takes from an attempt's end whether its engine lives.
func (d *Daemon) recordLiveness(now time.Time, t *tables, e route.Ended) {
	if e.Placed.Ask.Model == "" {
		return
	}
	k := &t.crashes
	life := k.incarnation(d.Settings.Name, e.Placed.Target)
	sum := e.Placed.Ask.Fingerprint
	switch {
	case e.Dead:
		d.incarnationEnded(now, t, e.Placed.Target)
	case e.Cut && k.tracker.CutOff(now, life, sum()):
		d.blameRequests(now, t, life, []fingerprint.Sum{sum()}, d.Settings.Name)
	case e.End.Request != "" && k.quarantine.Len() > 0 && k.quarantine.Answered(now, sum()):
		k.lifted[sum()] = now
	}
}

// livenessFromReport takes from an engine's report, or from its failing to give any, whether it
// lives. One that reports again after its end has begun another life.
func (d *Daemon) livenessFromReport(now time.Time, t *tables, m loadRead) {
	k := &t.crashes
	life := k.incarnation(d.Settings.Name, m.target)
	switch {
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.incarnationEnded(now, t, m.target)
	case m.err == nil && k.tracker.HasEnded(life):
		k.incarnations[m.target]++
	case m.err == nil:
		k.tracker.Alive(life, m.requestedAt)
	}
}

// incarnationEnded holds an engine's end against the requests that it cut off.
func (d *Daemon) incarnationEnded(now time.Time, t *tables, engine string) {
	life := t.crashes.incarnation(d.Settings.Name, engine)
	if sums := t.crashes.tracker.Ended(now, life); len(sums) > 0 {
		d.blameRequests(now, t, life, sums, d.Settings.Name)
	}
}

// blameRequests counts requests that ran on an engine when it ended.
func (d *Daemon) blameRequests(now time.Time, t *tables, life string, sums []fingerprint.Sum, from string) {
	k := &t.crashes
	for _, sum := range sums {
		if k.quarantine.Ended(now, sum, life) {
			d.Log.Warn("request is refused from now on", "fingerprint", sum, "engines_ended", quarantine.Threshold, "last", life, "told_by", from)
		}
	}
	news := k.reports[life]
	if news.at.IsZero() {
		d.Log.Warn("engine ended under requests", "life", life, "requests", len(sums), "told_by", from)
		news.at = now
	}
	news.fingerprints = append(news.fingerprints, sums...)
	k.reports[life] = news
}

// addReports adds what is news to a message.
func (k *crashState) addReports(now time.Time, m *peer.Message) {
	for life, news := range k.reports {
		if now.Sub(news.at) < announceFor && len(m.CrashReports) < maxCrashReports {
			m.CrashReports = append(m.CrashReports, peer.CrashReport{Incarnation: life, Fingerprints: news.fingerprints[:min(len(news.fingerprints), maxFingerprints)]})
		}
	}
	for sum, at := range k.lifted {
		if now.Sub(at) < announceFor && len(m.Lifted) < maxLifted {
			m.Lifted = append(m.Lifted, sum)
		}
	}
}

// receiveCrashReports takes a peer's news over.
func (d *Daemon) receiveCrashReports(now time.Time, t *tables, m peer.Message) {
	k := &t.crashes
	for _, told := range m.CrashReports {
		if _, known := k.reports[told.Incarnation]; !known {
			d.blameRequests(now, t, told.Incarnation, told.Fingerprints[:min(len(told.Fingerprints), maxFingerprints)], m.From)
		}
	}
	for _, sum := range m.Lifted {
		if _, known := k.lifted[sum]; !known {
			k.lifted[sum] = now
			k.quarantine.Answered(now, sum)
		}
	}
}

// expireCrashes forgets what is over. News is remembered for longer than it is told on,
// so that it does not go round for ever.
func (d *Daemon) expireCrashes(now time.Time, t *tables) []effect {
	const remember = 4 * announceFor
	k := &t.crashes
	k.tracker.Expire(now)
	k.quarantine.Expire(now)
	maps.DeleteFunc(k.reports, func(_ string, news crashReport) bool { return now.Sub(news.at) > remember })
	maps.DeleteFunc(k.lifted, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > remember })
	return nil
}
