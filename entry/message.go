package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/table"
)

// message is an event. The loop takes one at a time.
type message any

// placementRequest asks for a placement; the loop answers on reply, which is buffered.
type placementRequest struct {
	// ctx ends when the caller leaves or at the deadline; the request is then neither
	// placed nor counted.
	ctx   context.Context
	ask   deliver.PlacementRequest
	reply chan<- placementAnswer
	// askedHubs are the hubs that were asked before.
	askedHubs []string
	// askUntil is when this box stops asking others for a token; zero until it asks one.
	askUntil time.Time
	// trial says that the request is placed even if requests like it are quarantined.
	trial bool
	// typicalTokens is the typical size of its route's requests when it came; zero if it was not
	// needed yet.
	typicalTokens int
	// queuedAt is since when it waits for room, here or at hubs; zero if it does not. atHub says that
	// a hub has queued it.
	queuedAt time.Time
	atHub    bool
	// since is when its caller first asked, if not with this request; returning says that it was
	// refused then and returned when told.
	since     time.Time
	returning bool
	// ticket identifies it in the queue of a hub; heldBytes is what this box holds for it while
	// it waits there.
	ticket    uint64
	heldBytes int
}

// placementAnswer is a placement or the refusal.
type placementAnswer struct {
	place deliver.Placement
	err   error
}

// copyRequest asks to place a broken run at the engine that holds its copy; the loop answers on
// reply, which is buffered.
type copyRequest struct {
	// ctx ends when the caller leaves or at the deadline.
	ctx    context.Context
	job    *deliver.Job
	broken deliver.Placement
	reply  chan<- placementAnswer
}

// suspectQuery asks whether a target looks dead; the loop answers on reply, which is
// buffered.
type suspectQuery struct {
	target string
	reply  chan<- bool
}

// silenceSeen reports that a connection to a target was found silent.
type silenceSeen struct{ at netip.AddrPort }

// answerBegan reports that the head of an answer arrived.
type answerBegan struct{ place deliver.Placement }

// attemptEnded reports the result of an attempt.
type attemptEnded struct{ deliver.AttemptResult }

// operatorRead, targetsRead and ownRead are answers of the table service, with the time at
// which each read was sent.
type operatorRead struct {
	requestedAt time.Time
	change      Operator
}

type targetsRead struct {
	requestedAt time.Time
	change      Targets
	// afterOutage says that the service could not be read just before.
	afterOutage bool
}

// ownRead is the content of the system's own rows. Settled says that they name all boxes
// that started long enough ago.
type ownRead struct {
	change  OwnRows
	settled bool
}

// tableServiceLost and tableServiceBack report that the table service stopped or began to
// answer.
type (
	tableServiceLost struct{ err error }
	tableServiceBack struct{}
)

// cacheEventsRead is what a source reported of its cached parts, or why it did not.
type cacheEventsRead struct {
	source string
	events CacheEvents
	// listed says that the events list everything that the source has cached.
	listed bool
	// requestedAt is when the read was sent.
	requestedAt time.Time
	err         error
	// applied frees the slot of a read of the whole source; nil for others.
	applied func()
}

// end is called once the events were applied or dropped.
func (m cacheEventsRead) end() {
	if m.applied != nil {
		m.applied()
	}
}

// leaseStepped reports that a step of the rollout's lease ended. While the lease is held, it
// carries the system's own rows, if they could be read.
type leaseStepped struct {
	err  error
	read bool
	rows []table.Row
}

// staleFreed reports that the stores were cleared of a model's older parts.
type staleFreed struct {
	model   string
	version int64
	err     error
}

// orderEnded reports that a target took the order, or why it is not known to.
type orderEnded struct {
	target, model string
	version       int64
	err           error
}

// announced reports that the rollout's row was written, or why not.
type announced struct {
	announce
	err error
}
