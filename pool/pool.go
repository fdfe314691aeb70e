// Package pool describes a pool of targets that serve the same model or service, and
// the policy for placing requests on them.
package pool

// The kinds of pool.
const (
	// KindModel pools hold model engines.
	KindModel = "model"
	// KindService pools hold plain services.
	KindService = "service"
)

// Pool is one pool as the operators configured it.
type Pool struct {
	Name string `json:"name"`
	// Kind is KindModel or KindService.
	Kind string `json:"kind"`
	// Weights is the weight version for new requests. Model pools only.
	Weights string `json:"weights,omitempty"`
	// Previous is the weight version that targets serve until the rollout reaches
	// them. It is set when Weights changes.
	Previous string `json:"previous,omitempty"`
	// Leaving names the targets that operators drain: they get no new work.
	Leaving []string `json:"leave,omitempty"`
	// ChecksFence says that the pool's targets check the fencing token: they refuse
	// orders with a lower epoch than one they have seen.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// OnceByTarget says that the targets themselves run an idempotency key at most
	// once, so that not-repeatable requests can run while the table service is down.
	OnceByTarget bool `json:"once_by_target,omitempty"`
	// Policy weighs the costs of a placement.
	Policy Policy `json:"policy"`
	// PieceBytes is the number of prompt bytes between two cache boundaries. Model
	// pools only; at least 64.
	PieceBytes int `json:"piece_bytes,omitempty"`
	// Stores says whether prefix cache is saved to store boxes.
	Stores bool `json:"stores,omitempty"`
	// FirstTokenMillis is the pool's goal for the time to first token, or to the
	// start of a service's answer. An attempt whose target is silent for three times
	// as long is abandoned. Zero means a bound of 10 s for models and the request's
	// own timeout for services.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// Concurrency bounds the requests in flight on one target. At least 1.
	Concurrency int `json:"concurrency"`
}

// Serves reports whether new requests may run on a weight version.
func (p Pool) Serves(version string) bool {
	return version != "" && (version == p.Weights || version == p.Previous)
}

// Policy holds the weights of the costs of a placement. Only their ratios matter.
type Policy struct {
	// FirstToken weighs a second of waiting for the first token.
	FirstToken float64 `json:"first_token"`
	// Recompute weighs a second of prefill that cached pieces could have saved.
	Recompute float64 `json:"recompute"`
	// Link weighs a second of use of a store link.
	Link float64 `json:"link"`
}
