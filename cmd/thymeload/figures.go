package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// figures are the counts of a run. The record methods are safe for concurrent use.
type figures struct {
	mu sync.Mutex
	// first and directFirst hold the times to first token in microseconds, through
	// daemons and directly from the engine.
	first, directFirst *hdrhistogram.Histogram
	requests, complete int
	retried            map[int]int
	wrongAnswers       int
	// orders holds the last outcome known to the caller of each key.
	orders    map[string]string
	unchecked int
}

// line is the line of JSON that is printed.
type line struct {
	Label     string         `json:"label,omitempty"`
	Requests  int            `json:"requests"`
	Whole     int            `json:"whole"`
	Orders    int            `json:"orders"`
	Outcomes  map[string]int `json:"order_outcomes"`
	Retried   map[int]int    `json:"retried_by_status"`
	Wrong     int            `json:"wrong"`
	Unchecked int            `json:"services_unchecked"`
	P50       float64        `json:"ttft_p50_ms"`
	P95       float64        `json:"ttft_p95_ms"`
	P99       float64        `json:"ttft_p99_ms"`
	Direct50  float64        `json:"direct_p50_ms,omitempty"`
	Direct99  float64        `json:"direct_p99_ms,omitempty"`
}

func (f *figures) init() {
	const longest = 60_000_000
	f.first = hdrhistogram.New(1, longest, 3)
	f.directFirst = hdrhistogram.New(1, longest, 3)
	f.retried = make(map[int]int)
	f.orders = make(map[string]string)
}

func (f *figures) recordFirstToken(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.first.RecordValue(d.Microseconds())
}

func (f *figures) recordDirect(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.directFirst.RecordValue(d.Microseconds())
}

func (f *figures) recordRetry(status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retried[status]++
}

func (f *figures) recordRequest(whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	if whole {
		f.complete++
	}
}

func (f *figures) recordOrder(key, outcome string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders[key] = outcome
}

func (f *figures) reportWrong(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrongAnswers++
	fmt.Fprintln(os.Stderr, "wrong:", what)
}

func (f *figures) line(label string) line {
	out := line{
		Label: label, Requests: f.requests, Whole: f.complete, Orders: len(f.orders), Outcomes: make(map[string]int),
		Retried: f.retried, Wrong: f.wrongAnswers, Unchecked: f.unchecked,
		P50: millis(f.first, 50), P95: millis(f.first, 95), P99: millis(f.first, 99),
		Direct50: millis(f.directFirst, 50), Direct99: millis(f.directFirst, 99),
	}
	for _, outcome := range f.orders {
		out.Outcomes[outcome]++
	}
	return out
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}
