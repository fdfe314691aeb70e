//go:build review

package main

import (
	_ "embed" // The manifests are embedded.
	"encoding/json"
)

// The manifests of the cases: one of a plain service and one of a model.
var (
	//go:embed order.json
	orderManifest []byte
	//go:embed model.json
	modelManifest []byte
)

// configure writes a manifest.
func (w *world) configure(manifest []byte) {
	var m struct {
		Services, Routes, Tenants []map[string]any
	}
	if err := json.Unmarshal(manifest, &m); err != nil {
		panic(err) // The manifests above can be decoded.
	}
	w.store.Configure(1, m.Services, m.Routes, m.Tenants)
}
