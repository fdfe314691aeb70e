// Package pool describes a pool of targets that serve the same thing, and the
// policy under which requests are placed on them.
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
	// Weights is the weight version that new requests use. Model pools only.
	Weights string `json:"weights,omitempty"`
	// Previous is the weight version that targets not rolled over yet still
	// serve. It is set when Weights changes.
	Previous string `json:"previous,omitempty"`
	// Leave names targets that get no new work, by the operators' order.
	Leave []string `json:"leave,omitempty"`
	// ChecksFence says that the pool's targets refuse orders with a lower epoch
	// than one they have seen.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// OnceByTarget says that the targets themselves run one idempotency key at
	// most once, so that not-repeatable requests go on while the table service
	// is down.
	OnceByTarget bool `json:"once_by_target,omitempty"`
	// Policy weighs the measures against each other.
	Policy Policy `json:"policy"`
	// PieceBytes is how many prompt bytes lie between two boundaries at which
	// cache is kept. Model pools only; at least 64.
	PieceBytes int `json:"piece_bytes,omitempty"`
	// Stores says whether cache is kept on store boxes.
	Stores bool `json:"stores,omitempty"`
	// FirstTokenMillis is the time to first token, or to the beginning of a
	// service's answer, that the pool promises. A target that is silent for
	// three times as long is given up. Zero means 10 s for models and the
	// request's own time for services.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// Concurrency bounds the requests under way on one target. At least 1.
	Concurrency int `json:"concurrency"`
}

// Serves says whether new requests may run on a weight version.
func (p Pool) Serves(version string) bool {
	return version != "" && (version == p.Weights || version == p.Previous)
}

// Policy weighs what the operators measure. Only the ratios matter.
type Policy struct {
	// FirstToken weighs a second of waiting for the first token.
	FirstToken float64 `json:"first_token"`
	// Recompute weighs a second of prefill that kept cache could have saved.
	Recompute float64 `json:"recompute"`
	// Link weighs a second of a store link's time.
	Link float64 `json:"link"`
}
