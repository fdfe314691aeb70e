//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

// wall checks that a tenant whom the manifest in force isolates shares no part of a prompt with
// another one. The disruption is a change of the manifest that isolates a tenant.
func wall(w *world) ([]string, error) {
	var engines []*engine
	for i := range 3 {
		e, err := w.startEngine(fmt.Sprintf("i-%d", i+1), "llm-pool", "m0")
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	// Without the disruption the tenant is isolated from the start, and the manifest stays.
	w.configureTenants(1, !w.trouble)
	if err := w.startBoxes(2); err != nil {
		return nil, err
	}
	const rounds = 4
	for i := range rounds {
		if a := w.prompt(i%2, fmt.Sprintf("north-%d", i), "key-north", i); a.status != 200 || a.err != nil {
			return nil, fmt.Errorf("a request of the first tenant got %d, %v", a.status, a.err)
		}
	}
	since := time.Time{}
	if w.trouble {
		time.Sleep(time.Second)
		w.configureTenants(2, true)
		w.log("the store confirms manifest 2: tenant north is isolated")
		since = boottime.Now().Add(configApply)
	}
	time.Sleep(configApply + time.Second)
	for i := range rounds {
		if a := w.prompt(i%2, fmt.Sprintf("south-%d", i), "key-south", i); a.status != 200 || a.err != nil {
			return nil, fmt.Errorf("a request of the second tenant got %d, %v", a.status, a.err)
		}
	}
	var breaches []string
	for _, e := range engines {
		for _, x := range e.allRuns() {
			for name, p := range x.reused {
				if p.tenant != x.tenant && x.at.After(since) {
					breaches = append(breaches, fmt.Sprintf("WALL: request %s of tenant %s used part %s at %s, which request %s of the isolated tenant %s made", x.request, x.tenant, name, e.id, p.request, p.tenant))
				}
			}
		}
	}
	return breaches, nil
}

// configureTenants writes a manifest with two tenants, the first of which may be isolated.
func (w *world) configureTenants(version int64, isolated bool) {
	route := standin.Route("chat", "streaming", "llm-pool", 10*time.Second)
	route["max_attempts"] = 1
	w.store.Configure(version,
		[]map[string]any{{
			"name": "llm-pool", "health_path": "/health", "max_connections": 600,
			"engine": map[string]any{"slots": 8, "kv_capacity": 100000, "kv_token_bytes": 35136, "link_mbps": 100000, "max_inflight": 16, "models": []map[string]any{{"name": "m0"}}},
		}},
		[]map[string]any{route},
		[]map[string]any{
			{"name": "north", "api_keys": []string{"key-north"}, "isolated": isolated},
			{"name": "south", "api_keys": []string{"key-south"}},
		})
}

// prompt sends a prompt of a shared part and one of its own.
func (w *world) prompt(at int, id, key string, shared int) answer {
	return w.send(w.boxes[at], request{
		id: id, method: "POST", host: "shop.example", path: "/chat/1", key: key, body: "{}", deadline: 10 * time.Second,
		header: map[string]string{headers.Model: "m0", headers.TokenUsage: "900,20", headers.PromptParts: fmt.Sprintf("5c1e07a%d:800,%x:100", shared, 4096+len(id)*256+int(key[4])+shared)},
	})
}
