package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/report"
)

// wait returns once the daemon answers and each of the named pools has a usable target
// there.
func (c client) wait(ctx context.Context, pools []string) error {
	const pause = 100 * time.Millisecond
	for {
		reason := c.notReady(ctx, pools)
		if reason == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("%s: %s", c.base, reason)
		case <-time.After(pause):
		}
	}
}

// notReady returns why the wait is not over yet, or an empty text.
func (c client) notReady(ctx context.Context, pools []string) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/livez", nil)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "the daemon does not answer"
	}
	_ = response.Body.Close()
	if len(pools) == 0 {
		return ""
	}
	quiet := c
	quiet.out = io.Discard
	r, err := quiet.send(ctx, "/v1/query", struct {
		Statement string `json:"statement"`
	}{"show pools"})
	if err != nil {
		return err.Error()
	}
	for _, name := range pools {
		if !usable(r, name) {
			return "pool " + name + " has no usable target"
		}
	}
	return ""
}

// usable reports whether a pool has usable targets, by a report of pools.
func usable(r report.Report, name string) bool {
	for _, row := range r.Rows {
		if row[0] == name && row[len(row)-1] != "0" {
			return true
		}
	}
	return false
}
