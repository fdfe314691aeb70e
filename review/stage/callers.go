//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/thymewind/thymewind/platform/headers"
)

// callers send requests at a steady rate, each to a daemon drawn at random, with an ID of its own.
type callers struct {
	world  *world
	client http.Client

	mu       sync.Mutex
	serial   int
	outcomes map[string]outcome
	pending  sync.WaitGroup
}

// outcome is what a caller got.
type outcome struct {
	kind, daemon string
	// status is zero without an answer.
	status int
	body   string
	err    error
}

func newCallers(w *world) *callers {
	return &callers{world: w, client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}, outcomes: make(map[string]outcome)}
}

// kind is a kind of request.
type kind struct {
	name, method, path string
	deadline           time.Duration
}

// send sends one request and notes what came back.
func (c *callers) send(k kind) {
	c.mu.Lock()
	c.serial++
	id := fmt.Sprintf("%s-%d", k.name, c.serial)
	c.mu.Unlock()
	d := c.world.daemons[rand.N(len(c.world.daemons))]
	c.pending.Go(func() {
		got := c.exchange(k, id, d)
		c.mu.Lock()
		c.outcomes[id] = got
		c.mu.Unlock()
		c.world.note("caller of %s at %s got status %d, body %q, error %v", id, d.name, got.status, got.body, got.err)
	})
}

func (c *callers) exchange(k kind, id string, d *daemon) outcome {
	got := outcome{kind: k.name, daemon: d.name}
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+d.front()+k.path+id, bytes.NewReader([]byte(id)))
	if err != nil {
		got.err = err
		return got
	}
	if k.method == http.MethodGet {
		request.Body, request.ContentLength = nil, 0
	}
	request.GetBody = nil // The library must not send it a second time.
	request.Host = "shop.example"
	request.Header.Set(headers.RequestID, id)
	request.Header.Set(headers.APIKey, "key-1")
	request.Header.Set(headers.DeadlineMS, fmt.Sprint(k.deadline.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got.status, got.body, got.err = response.StatusCode, string(body), err
	return got
}

// keepSending sends requests of a kind at a rate until ctx ends.
func (c *callers) keepSending(ctx context.Context, k kind, perSecond float64) {
	for ctx.Err() == nil {
		c.send(k)
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// tally counts outcomes by kind and status.
func (c *callers) tally() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, o := range c.outcomes {
		counts[fmt.Sprintf("%s %d", o.kind, o.status)]++
	}
	return counts
}
