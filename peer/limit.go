package peer

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
)

// RateLimit is a rate of requests that a target takes of all boxes together, or its end.
type RateLimit struct {
	Target string `cbor:"1,keyasint"`
	// StartedMS is when the target's life began, in Unix milliseconds; zero if it does not tell.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
	// Active says that there is one, of PerSecond requests a second.
	Active    bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago that was known when the message was sent, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// NewRateLimit is a limit as it travels in a message that is made now.
func NewRateLimit(now time.Time, x notice.TargetLimit) RateLimit {
	l := RateLimit{Target: x.Incarnation.ID, Active: x.Limit.Active, PerSecond: x.Limit.PerSecond, AgeMS: now.Sub(x.Limit.At).Milliseconds()}
	if !x.Incarnation.StartedAt.IsZero() {
		l.StartedMS = x.Incarnation.StartedAt.UnixMilli()
	}
	return l
}

// Decode is what a message told that was made at a time. It fails with trace.BadParameter if no
// box can have meant that.
func (l RateLimit) Decode(made time.Time) (notice.TargetLimit, error) {
	if l.AgeMS < 0 || !(l.PerSecond >= 0) {
		return notice.TargetLimit{}, trace.BadParameter("a limit of %q is of %v a second and %d ms old", l.Target, l.PerSecond, l.AgeMS)
	}
	life := fleet.Incarnation{ID: l.Target}
	if l.StartedMS != 0 {
		life.StartedAt = time.UnixMilli(l.StartedMS)
	}
	return notice.TargetLimit{
		Incarnation: life,
		Limit:       notice.Limit{Active: l.Active, PerSecond: l.PerSecond, At: made.Add(-time.Duration(l.AgeMS) * time.Millisecond)},
	}, nil
}
