// Package settings reads and validates the settings of an entry daemon that runs on the
// users' platform.
//
//	s, err := settings.Parse("settings.yaml", data)
//	if err != nil { // every finding, each with file, line and column
//	}
package settings

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/document"
	"github.com/thymewind/thymewind/intake"
)

// Settings are what one daemon knows before it talks to any other.
type Settings struct {
	// Name is the box's name, unique among live boxes.
	Name string `yaml:"name"`
	// Domain is the box's failure domain, Region the region of that.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Callers, Ready and Metrics are the listeners' addresses. Metrics is optional.
	Callers netip.AddrPort `yaml:"callers"`
	Ready   netip.AddrPort `yaml:"ready"`
	Metrics netip.AddrPort `yaml:"metrics"`
	// Peers is where other boxes reach this one. It is optional; without it no loads are
	// exchanged.
	Peers netip.AddrPort `yaml:"peers"`
	// Store is the platform's table service.
	Store Store `yaml:"store"`
	// Box limits what this box may use.
	Box Box `yaml:"box"`
	// Bounds are the platform's limits on how this system acts.
	Bounds Bounds `yaml:"bounds"`
	// Reads bounds what this box reads of other servers' answers.
	Reads Reads `yaml:"reads"`
	// Clients bounds what clients may have this box hold.
	Clients intake.Limits `yaml:"clients"`
	// Overload is what this box does while engines have too little room.
	Overload Overload `yaml:"overload"`
	// Contracts are the names of the platform's rules in force; package platform knows which of
	// them ask for a part of Overload.
	Contracts []string `yaml:"contracts"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	// Without names mechanisms that are switched off, to measure what each is worth; empty
	// otherwise.
	Without []string `yaml:"without"`
}

// Store is the table service.
type Store struct {
	Address netip.AddrPort `yaml:"address"`
	// ReadsPerSecond is the read limit of all boxes together; zero if unknown.
	ReadsPerSecond float64 `yaml:"reads_per_second"`
}

// Box limits what the process may use.
type Box struct {
	// MemoryMB is the memory limit in MiB, above which the process is killed.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors limits open files and sockets.
	Descriptors int `yaml:"descriptors"`
	// Share is the share of a processor core that this box has.
	Share float64 `yaml:"share"`
	// Megabits is the link's speed, per second.
	Megabits float64 `yaml:"megabits"`
}

// Reads bounds answers of targets, stores and the table service, in bytes. What is longer is taken for
// bytes that are no answer.
type Reads struct {
	// HeadBytes bounds an answer's head, with the informational ones before it.
	HeadBytes int64 `yaml:"head_bytes"`
	// CallBytes bounds the body of an answer to one of this box's own calls, such as the list of a
	// source's cached parts, and a message of another box.
	CallBytes int64 `yaml:"call_bytes"`
	// AnswerBytes bounds the body of an answer to a caller.
	AnswerBytes int64 `yaml:"answer_bytes"`
}

// Overload switches on what a deployment with hard load asks for. All boxes of a deployment have
// the same.
type Overload struct {
	// Queue has requests to engines without room wait in order, by fair shares of the accounts.
	Queue bool `yaml:"queue"`
	// Copies has runs copied to another engine while engines are being lost.
	Copies bool `yaml:"copies"`
	// SlowEngines gives less work to engines whose first events came late.
	SlowEngines bool `yaml:"slow_engines"`
	// HeldBytes bounds what is held for callers and targets that read slowly. It is on unless a file
	// says otherwise.
	HeldBytes bool `yaml:"held_bytes"`
}

// Bounds are the platform's limits. A zero one does not apply.
type Bounds struct {
	// Stop is the time from the request to stop until the process is killed.
	Stop time.Duration `yaml:"stop"`
	// Notice is how long after the request to stop new connections may still arrive: two
	// readiness checks, a second apart, and a margin.
	Notice time.Duration `yaml:"notice"`
	// Drain is how long a leaving target still takes requests.
	Drain time.Duration `yaml:"drain"`
	// AppliedWithin is how long after a configuration was accepted boxes may still answer by
	// an older one; zero if there is no such bound.
	AppliedWithin time.Duration `yaml:"applied_within"`
	// RevokedWithin is the longest that a revoked key is honoured, whatever fails on the
	// box; zero if there is no such bound.
	RevokedWithin time.Duration `yaml:"revoked_within"`
	// RetryShare and RetryExtra limit retries over all boxes: a share of the requests plus a
	// number in each RetryWindow.
	RetryShare  float64       `yaml:"retry_share"`
	RetryExtra  float64       `yaml:"retry_extra"`
	RetryWindow time.Duration `yaml:"retry_window"`
	// Takeover is the minimum time between the orders of two holders of a lease.
	Takeover time.Duration `yaml:"takeover"`
	// WeightsWithin is how long after a version was named requests may still begin on an
	// older one.
	WeightsWithin time.Duration `yaml:"weights_within"`
	// EvacuatedWithin is how long after a domain's evacuation was requested requests may
	// still reach its targets; zero if domains are never evacuated.
	EvacuatedWithin time.Duration `yaml:"evacuated_within"`
	// ColdFactor and ColdExtra limit, over all boxes, the requests that a cold target gets
	// in a second: a factor of the rate that it bears, plus a number.
	ColdFactor float64 `yaml:"cold_factor"`
	ColdExtra  float64 `yaml:"cold_extra"`
	// TriedShare and TriedExtra limit, over all boxes, the requests that reach a bad canary
	// version of a pool's software: a share of all that reach the pool, plus a number.
	// TakenBackWithin is how long after the version gave enough bad answers the last may be
	// sent.
	TriedShare      float64       `yaml:"tried_share"`
	TriedExtra      float64       `yaml:"tried_extra"`
	TakenBackWithin time.Duration `yaml:"taken_back_within"`
	// Stretch is by how much such a bound is extended while the platform is not stable for a
	// box.
	Stretch time.Duration `yaml:"stretch"`
}

// defaults are the settings of an empty file.
func defaults() Settings {
	return Settings{
		LogLevel: "info",
		Overload: Overload{HeldBytes: true},
		Box:      Box{MemoryMB: 128, Descriptors: 1024, Share: 1, Megabits: 100},
		Reads:    Reads{HeadBytes: 32 << 10, CallBytes: 8 << 20, AnswerBytes: 64 << 20},
		Bounds: Bounds{
			Stop: 8 * time.Second, Notice: 2300 * time.Millisecond, Drain: 2 * time.Second, RetryShare: 0.1, RetryExtra: 10,
			RetryWindow: 10 * time.Second, Takeover: 3 * time.Second, WeightsWithin: 12 * time.Second, ColdFactor: 1,
			TriedShare: 0.1, TriedExtra: 50, TakenBackWithin: 5 * time.Second,
		},
	}
}

// Parse reads the settings in data, which came from the named file. The error holds every
// finding.
func Parse(name string, data []byte) (Settings, error) {
	s := defaults()
	d := document.Document{Name: name}
	d.Decode(data, &s)
	s.check(&d)
	return s, d.Err()
}

func (s *Settings) check(d *document.Document) {
	d.CheckSet("name", s.Name)
	d.CheckSet("domain", s.Domain)
	d.CheckOneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
	s.checkAddresses(d)
	s.checkBox(d)
	s.checkReads(d)
	s.Clients.Check(d)
	s.checkBounds(d)
	s.checkWithout(d)
}

func (s *Settings) checkAddresses(d *document.Document) {
	d.CheckListeners(
		document.Listener{Path: "callers", At: s.Callers},
		document.Listener{Path: "ready", At: s.Ready},
		document.Listener{Path: "metrics", At: s.Metrics, Optional: true},
		document.Listener{Path: "peers", At: s.Peers, Optional: true},
	)
	d.CheckListeners(document.Listener{Path: "store.address", At: s.Store.Address})
}

func (s *Settings) checkBox(d *document.Document) {
	const minMemory, minDescriptors = 32, 64
	if s.Box.MemoryMB < minMemory {
		d.Add("box.memory_mb", "must be at least %d", minMemory)
	}
	if s.Box.Descriptors < minDescriptors {
		d.Add("box.descriptors", "must be at least %d", minDescriptors)
	}
	if s.Box.Share <= 0 {
		d.Add("box.share", "must be above 0")
	}
}

func (s *Settings) checkReads(d *document.Document) {
	const minHead, minBody = 4 << 10, 64 << 10
	if s.Reads.HeadBytes < minHead {
		d.Add("reads.head_bytes", "must be at least %d", minHead)
	}
	if s.Reads.CallBytes < minBody {
		d.Add("reads.call_bytes", "must be at least %d", minBody)
	}
	if s.Reads.AnswerBytes < minBody {
		d.Add("reads.answer_bytes", "must be at least %d", minBody)
	}
}

func (s *Settings) checkBounds(d *document.Document) {
	const maxBound = time.Hour
	d.CheckWithin("bounds.stop", s.Bounds.Stop, time.Second, maxBound)
	d.CheckWithin("bounds.notice", s.Bounds.Notice, 0, maxBound)
	d.CheckWithin("bounds.drain", s.Bounds.Drain, 0, maxBound)
	d.CheckWithin("bounds.revoked_within", s.Bounds.RevokedWithin, 0, maxBound)
	d.CheckWithin("bounds.retry_window", s.Bounds.RetryWindow, time.Second, maxBound)
	d.CheckWithin("bounds.takeover", s.Bounds.Takeover, 0, maxBound)
	d.CheckWithin("bounds.applied_within", s.Bounds.AppliedWithin, 0, maxBound)
	d.CheckWithin("bounds.weights_within", s.Bounds.WeightsWithin, 0, maxBound)
	d.CheckWithin("bounds.evacuated_within", s.Bounds.EvacuatedWithin, 0, maxBound)
	d.CheckWithin("bounds.taken_back_within", s.Bounds.TakenBackWithin, 0, maxBound)
	if s.Bounds.TriedShare < 0 || s.Bounds.TriedShare > 1 || s.Bounds.TriedExtra < 0 {
		d.Add("bounds.tried_share", "must be between 0 and 1, and tried_extra must not be negative")
	}
	d.CheckWithin("bounds.stretch", s.Bounds.Stretch, 0, maxBound)
	if s.Bounds.ColdFactor < 0 || s.Bounds.ColdExtra < 0 {
		d.Add("bounds.cold_factor", "cold_factor and cold_extra must not be negative")
	}
	if s.Bounds.RetryShare < 0 || s.Bounds.RetryExtra < 0 {
		d.Add("bounds.retry_share", "retry_share and retry_extra must not be negative")
	}
}
