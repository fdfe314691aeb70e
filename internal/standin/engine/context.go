package engine

import (
	"context"
	"time"
)

// contextFor bounds work that goes on after its caller has left.
func contextFor(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
