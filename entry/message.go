package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/table"
)

// message is something that happened. The loop takes one at a time.
type message any

// placementRequest asks for a place; the loop answers on reply, which has room.
type placementRequest struct {
	// ctx ends when the caller left or its time is up; the request then gets no
	// place any more and counts nowhere.
	ctx   context.Context
	ask   deliver.PlacementRequest
	reply chan<- placeAnswer
	// askedHubs are the hubs that were asked before.
	askedHubs []string
	// trial says that it is placed whatever its like did to targets.
	trial bool
}

// placeAnswer is a place or the refusal.
type placeAnswer struct {
	place deliver.Placement
	err   error
}

// suspectQuery asks whether a target looks dead; the loop answers on reply,
// which has room.
type suspectQuery struct {
	target string
	reply  chan<- bool
}

// silenceSeen tells that a connection to a target was found silent.
type silenceSeen struct{ at netip.AddrPort }

// answerBegan tells that an answer's head came from the place.
type answerBegan struct{ place deliver.Placement }

// attemptEnded tells how a sending went.
type attemptEnded struct{ deliver.AttemptResult }

// operatorRead, targetsRead and ownRead are answers of the table service, with
// when each read was sent.
type operatorRead struct {
	asked  time.Time
	change Operator
}

type targetsRead struct {
	asked  time.Time
	change Targets
	// away says that the service could not be read right before.
	away bool
}

// ownRead is what the system's own rows say. Settled says that they name all
// boxes that started long enough ago.
type ownRead struct {
	change  OwnRows
	settled bool
}

// tableServiceLost and storeBack tell that the table service stopped or began to
// answer.
type (
	tableServiceLost struct{ err error }
	tableServiceBack struct{}
)

// cacheEventsRead is what a source told of its kept parts, or why it did not.
type cacheEventsRead struct {
	source string
	events CacheEvents
	// listed says that the news is all that the source keeps.
	listed bool
	// asked is when it was asked for.
	asked time.Time
	err   error
}

// leaseStepped tells that the step of the rollout's lease ended. While the
// lease is held, it brings the system's own rows, if they could be read.
type leaseStepped struct {
	err  error
	read bool
	rows []table.Row
}

// staleFreed tells that the stores were cleared of a model's older parts.
type staleFreed struct {
	model   string
	version int64
	err     error
}

// orderEnded tells that a target took the order, or why it is not known to.
type orderEnded struct {
	target, model string
	version       int64
	err           error
}

// announced tells that the rollout's row was written, or why not.
type announced struct {
	model string
	err   error
}
