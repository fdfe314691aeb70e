package relay

import (
	"context"
	"time"

	"github.com/thymewind/thymewind/route"
)

// watch gives an attempt up when its engine is silent for too long.
type watch struct {
	// ctx ends when the engine was silent for too long or the request ends.
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	stall  time.Duration
}

// watch begins to wait for the first text.
func (j *job) watch(ctx context.Context, placed route.Placed) *watch {
	w := &watch{stall: j.Stall}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(placed.FirstToken, w.cancel)
	return w
}

// rest stops the wait while something else takes its time.
func (w *watch) rest() { w.timer.Stop() }

// heard notes that text came and waits for the next.
func (w *watch) heard() { w.timer.Reset(w.stall) }

// end stops the watch.
func (w *watch) end() {
	w.timer.Stop()
	w.cancel()
}
