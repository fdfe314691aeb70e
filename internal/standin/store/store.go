// Package store is a stand-in for a store box with a memory and a disk tier, each behind
// its own link.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/kvcache"
)

// pinTime is how long a piece is not deleted after it was read.
const pinTime = 5 * time.Second

// orphanRetention is how long a piece without a manifest is kept after its last use.
const orphanRetention = 30 * time.Second

// Store is the stand-in. Set the exported fields before Handler.
type Store struct {
	Fault *fault.Switch
	// MemoryBytes and DiskBytes are the tiers' sizes.
	MemoryBytes, DiskBytes int
	// MemoryRate and DiskRate are the tiers' link rates, in bytes a second.
	MemoryRate, DiskRate float64

	mu        sync.Mutex
	pieces    map[string]*piece
	manifests map[string]kvcache.Manifest
	memory    int
	disk      int
	busy      [2]time.Time
}

// piece is a stored piece of cache.
type piece struct {
	data   []byte
	onDisk bool
	used   time.Time
}

// Handler returns the HTTP handler.
func (s *Store) Handler() http.Handler {
	s.pieces = make(map[string]*piece)
	s.manifests = make(map[string]kvcache.Manifest)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/pieces/{digest}", s.putPiece)
	mux.HandleFunc("GET /v1/pieces/{digest}", s.piece)
	mux.HandleFunc("POST /v1/find", s.find)
	mux.HandleFunc("GET /v1/room", s.capacity)
	mux.HandleFunc("GET /v1/manifests", s.list)
	mux.HandleFunc("PUT /v1/manifests", s.putManifest)
	mux.HandleFunc("DELETE /v1/manifests/{key}", s.drop)
	return s.Fault.Wrap(mux)
}

func (s *Store) putPiece(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil || kvcache.Digest(data) != r.PathValue("digest") {
		http.Error(w, "the bytes don't match the digest", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	if _, known := s.pieces[r.PathValue("digest")]; known {
		return
	}
	p := &piece{data: data, used: time.Now()}
	switch {
	case s.Fault.State().Full:
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	case s.memory+len(data) <= s.MemoryBytes:
		s.memory += len(data)
	case s.disk+len(data) <= s.DiskBytes:
		p.onDisk = true
		s.disk += len(data)
	default:
		w.WriteHeader(http.StatusInsufficientStorage)
		return
	}
	s.pieces[r.PathValue("digest")] = p
}

func (s *Store) piece(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	p, ok := s.pieces[r.PathValue("digest")]
	if !ok {
		s.mu.Unlock()
		http.NotFound(w, r)
		return
	}
	p.used = time.Now()
	wait := s.reserve(p)
	s.mu.Unlock()
	time.Sleep(wait)
	_, _ = w.Write(p.data)
}

// reserve queues a piece on its tier's link and returns the time until it has passed.
func (s *Store) reserve(p *piece) time.Duration {
	tier, bytesPerSecond := 0, s.MemoryRate
	if p.onDisk {
		tier, bytesPerSecond = 1, s.DiskRate
	}
	now := time.Now()
	if s.busy[tier].Before(now) {
		s.busy[tier] = now
	}
	seconds := float64(len(p.data)) / (bytesPerSecond * s.Fault.Scale())
	s.busy[tier] = s.busy[tier].Add(time.Duration(seconds * float64(time.Second)))
	return s.busy[tier].Sub(now)
}

func (s *Store) find(w http.ResponseWriter, r *http.Request) {
	var query struct {
		Keys []string `json:"keys"`
	}
	if err := json.NewDecoder(r.Body).Decode(&query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := kvcache.Found{Links: s.links()}
	for _, key := range query.Keys {
		m, ok := s.manifests[key]
		if !ok {
			break
		}
		m.Used = time.Now()
		m.Hits++
		s.manifests[key] = m
		if p := s.pieces[m.Piece.Digest]; p != nil && p.onDisk {
			m.Tier = kvcache.TierDisk
		}
		answer.Run = append(answer.Run, m)
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

// links returns the rate and the queue of each tier's link.
func (s *Store) links() [kvcache.Tiers]kvcache.Link {
	links := [kvcache.Tiers]kvcache.Link{{Rate: s.MemoryRate}, {Rate: s.DiskRate}}
	for tier := range links {
		if wait := time.Until(s.busy[tier]); wait > 0 {
			links[tier].Queue = int(wait.Seconds() * links[tier].Rate)
		}
	}
	return links
}

// manifests is the JSON body of a list of manifests.
type manifests struct {
	Manifests []kvcache.Manifest `json:"manifests"`
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	var answer manifests
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.manifests {
		answer.Manifests = append(answer.Manifests, m)
	}
	slices.SortFunc(answer.Manifests, func(a, b kvcache.Manifest) int { return a.Used.Compare(b.Used) })
	if limit, err := strconv.Atoi(r.URL.Query().Get("oldest")); err == nil && limit < len(answer.Manifests) {
		answer.Manifests = answer.Manifests[:max(limit, 0)]
	}
	fault.WriteJSON(w, http.StatusOK, answer)
}

func (s *Store) capacity(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.MemoryBytes + s.DiskBytes
	fault.WriteJSON(w, http.StatusOK, struct {
		Free int `json:"free"`
		Size int `json:"size"`
	}{size - s.memory - s.disk, size})
}

func (s *Store) putManifest(w http.ResponseWriter, r *http.Request) {
	var body manifests
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, "bad manifests", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range body.Manifests {
		if stored, ok := s.pieces[m.Piece.Digest]; !ok || len(stored.data) != m.Piece.Bytes {
			http.Error(w, "a piece is missing", http.StatusConflict)
			return
		}
		m.Used = time.Now()
		s.manifests[m.Key] = m
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) drop(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.manifests, r.PathValue("key"))
	s.sweep()
	w.WriteHeader(http.StatusNoContent)
}

// sweep deletes pieces without a manifest that were not used recently.
func (s *Store) sweep() {
	listed := make(map[string]bool)
	for _, m := range s.manifests {
		listed[m.Piece.Digest] = true
	}
	now := time.Now()
	for digest, p := range s.pieces {
		if listed[digest] || now.Sub(p.used) < pinTime || now.Sub(p.used) < orphanRetention {
			continue
		}
		if p.onDisk {
			s.disk -= len(p.data)
		} else {
			s.memory -= len(p.data)
		}
		delete(s.pieces, digest)
	}
}
