package settings

import (
	"strings"

	"github.com/thymewind/thymewind/document"
)

// Mechanisms that Without may name.
const (
	// Saves has engines save what they read in stores.
	Saves = "saves"
	// StoreFetches and EngineFetches have engines fetch kept parts from there.
	StoreFetches  = "store-fetches"
	EngineFetches = "engine-fetches"
	// LearntMoves and LearntReading go by the times that requests took.
	LearntMoves   = "learnt-moves"
	LearntReading = "learnt-reading"
	// RankSlack prefers the best-ranked of engines that cost about the same.
	RankSlack = "rank-slack"
	// OwnDomain prefers engines of the box's failure domain.
	OwnDomain = "own-domain"
	// LeastUrgent leaves room for all but the least urgent requests, Reserve more
	// of it while answers are late.
	LeastUrgent = "least-urgent"
	Reserve     = "reserve"
	// UsualSize admits by what a route's requests take up as a rule.
	UsualSize = "usual-size"
	// Freeing clears stores of parts made on older weights.
	Freeing = "freeing"
	// Loads counts what other boxes' requests take up.
	Loads = "loads"
	// Hurry asks another target where one that does not answer looks dead.
	Hurry = "hurry"
	// Quarantine refuses requests under which targets ended.
	Quarantine = "quarantine"
)

// mechanisms are all of them.
var mechanisms = []string{
	Saves, StoreFetches, EngineFetches, LearntMoves, LearntReading, RankSlack, OwnDomain, LeastUrgent, Reserve, UsualSize, Freeing, Loads, Hurry, Quarantine,
}

func (s *Settings) checkWithout(d *document.Document) {
	for _, name := range s.Without {
		d.CheckOneOf("without", name, mechanisms...)
	}
}

// Mechanisms lists what Without may name, for messages to people.
func Mechanisms() string { return strings.Join(mechanisms, ", ") }
