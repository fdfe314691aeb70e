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
	// endedNews is how long a box tells on that an engine ended under requests, or that
	// a request was answered after all.
	endedNews = 30 * time.Second
	// maxEnded bounds the ends told in one message, maxSums the requests of each, and
	// maxLifted the answered ones: some 5 KB in all, right after crashes only.
	maxEnded  = 8
	maxSums   = 32
	maxLifted = 16
)

// takedowns is what this box knows of requests that take engines down.
type takedowns struct {
	watch crash.Tracker
	book  quarantine.List
	// lives counts the lives of each engine that this box saw end.
	lives map[string]int
	// ended are the ends that are told on, lifted the requests that were answered,
	// with since when this box knows.
	ended  map[string]ending
	lifted map[fingerprint.Sum]time.Time
}

// ending is one engine's end.
type ending struct {
	sums []fingerprint.Sum
	at   time.Time
}

func newTakedowns() takedowns {
	return takedowns{lives: make(map[string]int), ended: make(map[string]ending), lifted: make(map[fingerprint.Sum]time.Time)}
}

// life names the life of an engine that this box knows: an engine does not tell.
func (k *takedowns) life(box, engine string) string {
	return box + "/" + engine + "/" + strconv.Itoa(k.lives[engine])
}

// place places a request, unless engines ended under its like.
func (d *Daemon) place(now time.Time, t *tables, ask route.Ask) (route.Placed, error) {
	k := &t.takedowns
	if ask.Model != "" && k.book.Len()+k.watch.Len() > 0 {
		if sum := ask.Fingerprint(); k.book.Refuses(now, sum, k.watch.Suspects(sum)) {
			return route.Placed{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "quarantined",
				"%d engines ended while requests for the same ran there", quarantine.Threshold).After(comeBackQuarantined)
		}
	}
	placed, err := t.Place(now, ask)
	placed.Ask = ask
	return placed, err
}

// comeBackQuarantined is when a caller should return who asks for what takes engines down.
// Nothing is won by asking sooner.
const comeBackQuarantined = time.Minute

// watchEnd takes from an attempt's end whether its engine lives.
func (d *Daemon) watchEnd(now time.Time, t *tables, e route.Ended) {
	if e.Placed.Ask.Model == "" {
		return
	}
	k := &t.takedowns
	life := k.life(d.Settings.Name, e.Placed.Target)
	sum := e.Placed.Ask.Fingerprint
	switch {
	case e.Dead:
		d.engineEnded(now, t, e.Placed.Target)
	case e.Cut && k.watch.CutOff(now, life, sum()):
		d.endedUnder(now, t, life, []fingerprint.Sum{sum()}, d.Settings.Name)
	case e.End.Request != "" && k.book.Len() > 0 && k.book.Answered(now, sum()):
		k.lifted[sum()] = now
	}
}

// loadOfLife takes from an engine's report, or from its failing to give any, whether it
// lives. One that reports again after its end has begun another life.
func (d *Daemon) loadOfLife(now time.Time, t *tables, m loadRead) {
	k := &t.takedowns
	life := k.life(d.Settings.Name, m.target)
	switch {
	case errors.Is(m.err, syscall.ECONNREFUSED):
		d.engineEnded(now, t, m.target)
	case m.err == nil && k.watch.HasEnded(life):
		k.lives[m.target]++
	case m.err == nil:
		k.watch.Alive(life, m.asked)
	}
}

// engineEnded holds an engine's end against the requests that it cut off.
func (d *Daemon) engineEnded(now time.Time, t *tables, engine string) {
	life := t.takedowns.life(d.Settings.Name, engine)
	if sums := t.takedowns.watch.Ended(now, life); len(sums) > 0 {
		d.endedUnder(now, t, life, sums, d.Settings.Name)
	}
}

// endedUnder counts requests that ran on an engine when it ended.
func (d *Daemon) endedUnder(now time.Time, t *tables, life string, sums []fingerprint.Sum, from string) {
	k := &t.takedowns
	for _, sum := range sums {
		if k.book.Ended(now, sum, life) {
			d.Log.Warn("request is refused from now on", "fingerprint", sum, "engines_ended", quarantine.Threshold, "last", life, "told_by", from)
		}
	}
	news := k.ended[life]
	if news.at.IsZero() {
		d.Log.Warn("engine ended under requests", "life", life, "requests", len(sums), "told_by", from)
		news.at = now
	}
	news.sums = append(news.sums, sums...)
	k.ended[life] = news
}

// tellTakedowns adds what is news to a message.
func (k *takedowns) tellTakedowns(now time.Time, m *peer.Message) {
	for life, news := range k.ended {
		if now.Sub(news.at) < endedNews && len(m.CrashReports) < maxEnded {
			m.CrashReports = append(m.CrashReports, peer.CrashReport{Incarnation: life, Fingerprints: news.sums[:min(len(news.sums), maxSums)]})
		}
	}
	for sum, at := range k.lifted {
		if now.Sub(at) < endedNews && len(m.Lifted) < maxLifted {
			m.Lifted = append(m.Lifted, sum)
		}
	}
}

// hearTakedowns takes a peer's news over.
func (d *Daemon) hearTakedowns(now time.Time, t *tables, m peer.Message) {
	k := &t.takedowns
	for _, told := range m.CrashReports {
		if _, known := k.ended[told.Incarnation]; !known {
			d.endedUnder(now, t, told.Incarnation, told.Fingerprints[:min(len(told.Fingerprints), maxSums)], m.From)
		}
	}
	for _, sum := range m.Lifted {
		if _, known := k.lifted[sum]; !known {
			k.lifted[sum] = now
			k.book.Answered(now, sum)
		}
	}
}

// expireTakedowns forgets what is over. News is remembered for longer than it is told on,
// so that it does not go round for ever.
func (d *Daemon) expireTakedowns(now time.Time, t *tables) []effect {
	const remember = 4 * endedNews
	k := &t.takedowns
	k.watch.Expire(now)
	k.book.Expire(now)
	maps.DeleteFunc(k.ended, func(_ string, news ending) bool { return now.Sub(news.at) > remember })
	maps.DeleteFunc(k.lifted, func(_ fingerprint.Sum, at time.Time) bool { return now.Sub(at) > remember })
	return nil
}
