package thymewind

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/route"
)

// message is an event for the loop, which handles one at a time.
type message any

// placementRequest asks for a target. The loop answers on reply, whose buffer must
// have room.
type placementRequest struct {
	request route.PlacementRequest
	reply   chan<- placementAnswer
}

// placementAnswer is a placement or the refusal.
type placementAnswer struct {
	placed route.Placement
	err    error
}

// attemptEnded is the outcome of a placed attempt.
type attemptEnded struct{ route.AttemptResult }

// signalsReceived carries the signals that a target sent in the head of an answer.
type signalsReceived struct {
	placed  route.Placement
	signals notice.Signals
}

// runResumed reports that a run's answer is being resumed from a target.
type runResumed struct{ at netip.AddrPort }

// boxesRead is the list of boxes, or the error of reading it.
type boxesRead struct {
	list []boxes.Box
	err  error
	// requestedAt is when the read began.
	requestedAt time.Time
	// unchanged is set if the list has not changed since it was last read.
	unchanged bool
	// from is the peer that sent the list; empty for the platform.
	from string
}

// peerSnapshotRead is a peer's snapshot, for a daemon that starts.
type peerSnapshotRead struct {
	boxes         boxesRead
	configuration configurationRead
}

// loadRead is a target's load report, or the error of reading it.
type loadRead struct {
	target string
	load   engine.Load
	err    error
	// requestedAt is when the report was requested.
	requestedAt time.Time
}

// configurationRead is a revision from the table service or from a peer.
type configurationRead struct {
	configuration *configuration.Configuration
	err           error
	// requestedAt is when the read began.
	requestedAt time.Time
	// from is the peer or operator that it came from; empty for the table service.
	from string
}

// inspection reads the tables inside the loop, for queries.
type inspection struct {
	read func(now time.Time, t *tables)
	done chan<- struct{}
}
