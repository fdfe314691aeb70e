// Package model names a model that callers ask for and the pool that serves it.
package model

// Model is one model as the operators configured it.
type Model struct {
	// Name is what callers put into the request's model field.
	Name string `json:"name"`
	// Pool names a pool of kind pool.KindModel.
	Pool string `json:"pool"`
}
