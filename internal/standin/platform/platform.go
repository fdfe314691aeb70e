// Package platform is a stand-in for the platform, with a table service, an object store
// and a lagging list of boxes.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/table"
)

// Platform is the stand-in. Set the exported fields before Handler.
type Platform struct {
	// Fault applies to all three services.
	Fault *fault.Switch
	// Lag is the delay of the list of boxes.
	Lag time.Duration
	// SilenceTimeout is how long a box may be silent before it is due to be dropped from
	// the list, which happens Lag later.
	SilenceTimeout time.Duration
	// Writes and Reads are the rate limits, in requests a second.
	Writes, Reads float64

	mu       sync.Mutex
	rows     map[string]table.Row
	revision uint64
	objects  map[string][]byte
	listed   map[string]listing
	writes   *rate.Limiter
	reads    *rate.Limiter
}

// listing is one box with the times that the lag is counted from.
type listing struct {
	box       boxes.Box
	listedAt  time.Time
	seenAt    time.Time
	leavingAt time.Time
}

// Handler returns the HTTP handler of the services.
func (p *Platform) Handler() http.Handler {
	p.rows = make(map[string]table.Row)
	p.objects = make(map[string][]byte)
	p.listed = make(map[string]listing)
	p.writes = rate.NewLimiter(rate.Limit(p.Writes), int(p.Writes))
	p.reads = rate.NewLimiter(rate.Limit(p.Reads), int(p.Reads))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/transactions", p.transact)
	mux.HandleFunc("GET /v1/rows", p.read)
	mux.HandleFunc("PUT /v1/objects/{name...}", p.putObject)
	mux.HandleFunc("GET /v1/objects/{name...}", p.object)
	mux.HandleFunc("GET /v1/boxes", p.boxes)
	root := http.NewServeMux()
	root.Handle("/", p.Fault.Wrap(mux))
	// Announcements bypass the faults.
	root.HandleFunc("PUT /announce", p.announce)
	return root
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	var tx table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.writes.Allow() {
		http.Error(w, "too many writes", http.StatusTooManyRequests)
		return
	}
	conflict := p.apply(tx)
	if fault.Occurs(p.Fault.State().Lose) {
		panic(http.ErrAbortHandler)
	}
	if conflict != "" {
		fault.WriteJSON(w, http.StatusConflict, struct {
			Key string `json:"key"`
		}{conflict})
		return
	}
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}

// apply applies a transaction, or returns the first key whose condition does not hold.
func (p *Platform) apply(tx table.Transaction) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range tx.Expect {
		if p.rows[c.Key].Revision != c.Revision {
			return c.Key
		}
	}
	p.revision++
	for _, row := range tx.Put {
		row.Revision = p.revision
		p.rows[row.Key] = row
	}
	for _, key := range tx.Delete {
		delete(p.rows, key)
	}
	return ""
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	if !p.reads.Allow() {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	query := r.URL.Query()
	var answer struct {
		Rows []table.Row `json:"rows"`
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := query.Get("key"); key != "" {
		if row, ok := p.rows[key]; ok {
			answer.Rows = append(answer.Rows, row)
		}
		fault.WriteJSON(w, http.StatusOK, answer)
		return
	}
	for key, row := range p.rows {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			answer.Rows = append(answer.Rows, row)
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if limit, _ := strconv.Atoi(query.Get("limit")); limit > 0 && len(answer.Rows) > limit {
		answer.Rows = answer.Rows[:limit]
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = data
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (p *Platform) announce(w http.ResponseWriter, r *http.Request) {
	var box boxes.Box
	if err := json.NewDecoder(r.Body).Decode(&box); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l, known := p.listed[box.Name]
	if !known || l.box.Address != box.Address {
		l = listing{listedAt: now}
	}
	if box.Leaving && !l.box.Leaving {
		l.leavingAt = now
	}
	l.box = box
	l.seenAt = now
	p.listed[box.Name] = l
}

func (p *Platform) boxes(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var answer struct {
		Boxes []boxes.Box `json:"boxes"`
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.listed {
		if now.Sub(l.seenAt) > p.SilenceTimeout+p.Lag {
			delete(p.listed, name)
			continue
		}
		if now.Sub(l.listedAt) < p.Lag {
			continue
		}
		box := l.box
		box.Leaving = box.Leaving && now.Sub(l.leavingAt) >= p.Lag
		answer.Boxes = append(answer.Boxes, box)
	}
	sort.Slice(answer.Boxes, func(i, j int) bool { return answer.Boxes[i].Name < answer.Boxes[j].Name })
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
