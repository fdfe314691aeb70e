package peer

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/notice"
)

// Limit is a rate of requests that a target takes of all boxes together, or its end.
type Limit struct {
	Target string `cbor:"1,keyasint"`
	// BornMS is when the target's life began, in Unix milliseconds; zero if it does not tell.
	BornMS int64 `cbor:"2,keyasint,omitempty"`
	// Named says that there is one, of PerSecond requests a second.
	Named     bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago that was known when the message was sent, in milliseconds.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
}

// LimitOf is a limit as it travels in a message that is made now.
func LimitOf(now time.Time, x notice.Rated) Limit {
	l := Limit{Target: x.Life.ID, Named: x.Limit.Named, PerSecond: x.Limit.PerSecond, AgeMS: now.Sub(x.Limit.At).Milliseconds()}
	if !x.Life.Born.IsZero() {
		l.BornMS = x.Life.Born.UnixMilli()
	}
	return l
}

// Rated is what a message told that was made at a time. It fails with trace.BadParameter if no
// box can have meant that.
func (l Limit) Rated(made time.Time) (notice.Rated, error) {
	if l.AgeMS < 0 || !(l.PerSecond >= 0) {
		return notice.Rated{}, trace.BadParameter("a limit of %q is of %v a second and %d ms old", l.Target, l.PerSecond, l.AgeMS)
	}
	life := fleet.Life{ID: l.Target}
	if l.BornMS != 0 {
		life.Born = time.UnixMilli(l.BornMS)
	}
	return notice.Rated{
		Life:  life,
		Limit: notice.Limit{Named: l.Named, PerSecond: l.PerSecond, At: made.Add(-time.Duration(l.AgeMS) * time.Millisecond)},
	}, nil
}
