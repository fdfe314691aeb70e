package peer

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
)

// RateLimit is the rate limit that a target set for all boxes together, or the end of one.
type RateLimit struct {
	Target string `cbor:"1,keyasint"`
	// StartedMS is when the target's incarnation began, in Unix milliseconds; zero if unknown.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
	// Active says that there is a limit, of PerSecond requests a second.
	Active    bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMS is how old this knowledge was when the message was sent, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// NewRateLimit encodes a limit for a message sent at now.
func NewRateLimit(now time.Time, x notice.TargetLimit) RateLimit {
	l := RateLimit{Target: x.Incarnation.ID, Active: x.Limit.Active, PerSecond: x.Limit.PerSecond, AgeMS: now.Sub(x.Limit.At).Milliseconds()}
	if !x.Incarnation.StartedAt.IsZero() {
		l.StartedMS = x.Incarnation.StartedAt.UnixMilli()
	}
	return l
}

// Decode returns the limit from a message made at the given time. It fails with trace.BadParameter
// if a value is out of range.
func (l RateLimit) Decode(made time.Time) (notice.TargetLimit, error) {
	if l.AgeMS < 0 || !(l.PerSecond >= 0) {
		return notice.TargetLimit{}, trace.BadParameter("rate limit of target %q is out of range: %v requests a second, %d ms old", l.Target, l.PerSecond, l.AgeMS)
	}
	incarnation := fleet.Incarnation{ID: l.Target}
	if l.StartedMS != 0 {
		incarnation.StartedAt = time.UnixMilli(l.StartedMS)
	}
	return notice.TargetLimit{
		Incarnation: incarnation,
		Limit:       notice.Limit{Active: l.Active, PerSecond: l.PerSecond, At: made.Add(-time.Duration(l.AgeMS) * time.Millisecond)},
	}, nil
}
