// Package model describes a model and the pool that serves it.
package model

// Model is one model as the operators configured it.
type Model struct {
	// Name is the value of the model field in callers' requests.
	Name string `json:"name"`
	// Pool names a pool of kind pool.KindModel.
	Pool string `json:"pool"`
}
