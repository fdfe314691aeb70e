package settings

import (
	"strings"

	"github.com/thymewind/thymewind/document"
)

// Mechanisms that Without may name.
const (
	// Saves has engines save prompt parts to stores.
	Saves = "saves"
	// StoreFetches and EngineFetches have engines fetch cached parts from stores and engines.
	StoreFetches  = "store-fetches"
	EngineFetches = "engine-fetches"
	// LearntMoves and LearntReading predict transfers and prefill from the times that
	// requests took.
	LearntMoves   = "learnt-moves"
	LearntReading = "learnt-reading"
	// RankSlack prefers the best-ranked of engines that cost about the same.
	RankSlack = "rank-slack"
	// OwnDomain prefers engines of the box's failure domain.
	OwnDomain = "own-domain"
	// LeastUrgent keeps room free of requests of the lowest priority, Reserve more of it
	// while answers are late.
	LeastUrgent = "least-urgent"
	Reserve     = "reserve"
	// UsualSize admits by the typical size of a route's requests.
	UsualSize = "usual-size"
	// Freeing clears stores of parts made on older weights.
	Freeing = "freeing"
	// Loads counts the load of other boxes' requests.
	Loads = "loads"
	// Hurry sends a request to another target when one that does not answer is suspect.
	Hurry = "hurry"
	// Quarantine refuses requests under which targets ended.
	Quarantine = "quarantine"
	// Waiting has requests without room wait in order.
	Waiting = "waiting"
	// Copies has the memory of runs copied to another engine, so that they survive theirs.
	Copies = "copies"
	// SlowEngines gives less work to engines whose answers began late.
	SlowEngines = "slow_engines"
	// HandingOn has other boxes serve requests whose targets a box does not reach.
	HandingOn = "handing-on"
	// SameSoftware has streams go on only at the software version that began them, Origins has boxes
	// tell each other which one that is.
	SameSoftware = "same-software"
	Origins      = "origins"
	// HeldBytes bounds the bytes held for callers and targets.
	HeldBytes = "held-bytes"
)

// mechanisms lists all of them.
var mechanisms = []string{
	Saves, StoreFetches, EngineFetches, LearntMoves, LearntReading, RankSlack, OwnDomain, LeastUrgent, Reserve, UsualSize, Freeing, Loads, Hurry, Quarantine, Waiting, Copies, SlowEngines, HandingOn, SameSoftware, Origins, HeldBytes,
}

func (s *Settings) checkWithout(d *document.Document) {
	for _, name := range s.Without {
		d.CheckOneOf("without", name, mechanisms...)
	}
}

// Mechanisms lists what Without may name, for messages to users.
func Mechanisms() string { return strings.Join(mechanisms, ", ") }
