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

// message is something that happened. The loop takes one at a time.
type message any

// placementRequest asks for a place; the loop answers on reply, which has room.
type placementRequest struct {
	ask   route.Ask
	reply chan<- placementAnswer
}

// placementAnswer is a place or the refusal.
type placementAnswer struct {
	placed route.Placed
	err    error
}

// attemptEnded tells how an attempt that was placed went.
type attemptEnded struct{ route.Ended }

// signalsHeard tells what the head of an answer says of its target.
type signalsHeard struct {
	placed route.Placed
	signals   notice.Signals
}

// runResumed tells that a run's answer is read again from a target.
type runResumed struct{ at netip.AddrPort }

// boxesRead is the platform's list, or why it can't be read.
type boxesRead struct {
	list []boxes.Box
	err  error
	// requestedAt is when the read began.
	requestedAt time.Time
	// unchanged says that the list is as it was last read.
	unchanged bool
	// from names the peer whose list it is; empty for the platform's.
	from string
}

// peerSnapshotRead is what a peer holds, for a daemon that boots.
type peerSnapshotRead struct {
	boxes         boxesRead
	configuration configurationRead
}

// loadRead is one target's own report, or why it gave none.
type loadRead struct {
	target string
	load   engine.Load
	err    error
	// requestedAt is when it was asked for.
	requestedAt time.Time
}

// configurationRead is a revision from the table service or from a peer.
type configurationRead struct {
	configuration *configuration.Configuration
	err           error
	// requestedAt is when the read began.
	requestedAt time.Time
	// from names the peer; empty for the table service.
	from string
}

// inspection runs a read of the tables inside the loop, for queries.
type inspection struct {
	read func(now time.Time, t *tables)
	done chan<- struct{}
}
