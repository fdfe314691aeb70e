package relay

import (
	"context"
	"time"

	"github.com/thymewind/thymewind/route"
)

// watchdog cancels an attempt whose engine is silent for too long.
type watchdog struct {
	// ctx ends when the engine is silent for too long or the request ends.
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	stall  time.Duration
}

// startWatchdog starts the wait for the first text.
func (j *job) startWatchdog(ctx context.Context, placed route.Placement) *watchdog {
	w := &watchdog{stall: j.StallTimeout}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(placed.FirstToken, w.cancel)
	return w
}

// pause suspends the wait until the next reset.
func (w *watchdog) pause() { w.timer.Stop() }

// reset starts the wait for the next text.
func (w *watchdog) reset() { w.timer.Reset(w.stall) }

// stop ends the watchdog and cancels ctx.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}
