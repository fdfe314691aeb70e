// Package settings reads and checks a daemon's settings file.
//
//	s, err := settings.Parse("entry-1.yaml", data)
//	if err != nil { // every finding, each with file, line and column
//	}
package settings

import (
	"net/netip"
	"net/url"
	"time"

	"github.com/thymewind/thymewind/document"
	"github.com/thymewind/thymewind/intake"
)

// Settings are the local settings of one daemon.
type Settings struct {
	// Name is the box's name, unique among live boxes.
	Name string `yaml:"name"`
	// Domain is the box's failure domain, Region the region of that domain.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Callers, Operators and Peers are the listeners' addresses.
	Callers   netip.AddrPort `yaml:"callers"`
	Operators netip.AddrPort `yaml:"operators"`
	Peers     netip.AddrPort `yaml:"peers"`
	// KnownPeers are the peers that a daemon asks for the configuration and the list of
	// boxes if it starts while the platform is down. Some may not exist any more.
	KnownPeers []netip.AddrPort `yaml:"known_peers"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// TokenKeys are the keys of resume tokens: the first signs, all are accepted. They
	// are the same on every box.
	TokenKeys []string `yaml:"token_keys"`
	// PeerCredential authenticates daemons to each other.
	PeerCredential string `yaml:"peer_credential"`
	// OperatorCredentials are the operators with access to the operator API.
	OperatorCredentials []Operator `yaml:"operator_credentials"`
	// TLS holds the listeners' key pairs. A listener without one does not use TLS.
	TLS TLS `yaml:"tls"`
	// Box limits what this process may use.
	Box Box `yaml:"box"`
	// Clients bounds what clients may have this process hold.
	Clients intake.Limits `yaml:"clients"`
	// Limits bound callers' requests and the decision records.
	Limits Limits `yaml:"limits"`
	// Timing sets the daemon's intervals and timeouts.
	Timing Timing `yaml:"timing"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Operator is one operator's name and the hexadecimal SHA-256 of the credential.
type Operator struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
}

// TLS names the key pair files of the listeners.
type TLS struct {
	Callers   Pair `yaml:"callers"`
	Operators Pair `yaml:"operators"`
	Peers     Pair `yaml:"peers"`
	// PeerAuthority is the certificate file of the authority that signs peers'
	// certificates. It is set if Peers is.
	PeerAuthority string `yaml:"peer_authority"`
}

// Pair is a certificate file and its key file, both set or both empty.
type Pair struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Box limits what the process may use. What is zero is the machine's.
type Box struct {
	// MemoryMB is the memory limit in MiB.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors limits open files and sockets.
	Descriptors int `yaml:"descriptors"`
}

// Limits bound sizes.
type Limits struct {
	// BodyBytes and HeaderBytes bound a caller's request.
	BodyBytes   int64 `yaml:"body_bytes"`
	HeaderBytes int   `yaml:"header_bytes"`
	// Records is the number of decision records kept.
	Records int `yaml:"records"`
}

// Timing sets the daemon's intervals and timeouts.
type Timing struct {
	// Tick is the interval of the event loop's periodic work.
	Tick time.Duration `yaml:"tick"`
	// Poll is the interval for reading the list of boxes and the configuration head.
	Poll time.Duration `yaml:"poll"`
	// Load is the interval for reading each target's load report.
	Load time.Duration `yaml:"load"`
	// Gossip is the interval for sending changes to a few peers.
	Gossip time.Duration `yaml:"gossip"`
	// Lease is the TTL of a lease.
	Lease time.Duration `yaml:"lease"`
	// Notice is for how long a stopping daemon still accepts requests, until the load
	// balancer has noticed that it is not ready.
	Notice time.Duration `yaml:"notice"`
	// Request is the timeout of a request without a deadline of its own.
	Request time.Duration `yaml:"request"`
}

// defaults returns the settings of an empty file.
func defaults() Settings {
	return Settings{
		LogLevel: "info",
		Limits:   Limits{BodyBytes: 8 << 20, HeaderBytes: 64 << 10, Records: 4096},
		Timing: Timing{
			Tick: 100 * time.Millisecond, Poll: 2 * time.Second, Load: 500 * time.Millisecond,
			Gossip: time.Second, Lease: 6 * time.Second, Notice: 2 * time.Second, Request: 2 * time.Minute,
		},
	}
}

// Parse decodes and checks the settings in data, the content of the named file. The error
// holds every finding.
func Parse(name string, data []byte) (Settings, error) {
	s := defaults()
	d := document.Document{Name: name}
	d.Decode(data, &s)
	s.check(&d)
	return s, d.Err()
}

func (s *Settings) check(d *document.Document) {
	s.checkNames(d)
	s.checkAddresses(d)
	s.checkSecrets(d)
	s.checkTLS(d)
	s.checkBox(d)
	s.Clients.Check(d)
	s.checkLimits(d)
	s.checkTiming(d)
}

func (s *Settings) checkBox(d *document.Document) {
	const minMemory, minDescriptors = 32, 64
	if s.Box.MemoryMB != 0 && s.Box.MemoryMB < minMemory {
		d.Add("box.memory_mb", "must be 0 or at least %d", minMemory)
	}
	if s.Box.Descriptors != 0 && s.Box.Descriptors < minDescriptors {
		d.Add("box.descriptors", "must be 0 or at least %d", minDescriptors)
	}
}

func (s *Settings) checkNames(d *document.Document) {
	d.CheckSet("name", s.Name)
	d.CheckSet("domain", s.Domain)
	d.CheckOneOf("log_level", s.LogLevel, "debug", "info", "warn", "error")
}

func (s *Settings) checkAddresses(d *document.Document) {
	d.CheckListeners(
		document.Listener{Path: "callers", At: s.Callers},
		document.Listener{Path: "operators", At: s.Operators},
		document.Listener{Path: "peers", At: s.Peers},
	)
	if s.Peers.IsValid() && s.Peers.Addr().IsUnspecified() {
		d.Add("peers", "must be an address that peers can reach, not %v", s.Peers.Addr())
	}
	base, err := url.Parse(s.Platform)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		d.Add("platform", "must be a URL such as http://10.0.0.5:7000")
	}
}

func (s *Settings) checkSecrets(d *document.Document) {
	const minBytes = 16
	if len(s.TokenKeys) == 0 {
		d.Add("token_keys", "must hold at least one key")
	}
	for _, key := range s.TokenKeys {
		if len(key) < minBytes {
			d.Add("token_keys", "a key is shorter than %d bytes", minBytes)
		}
	}
	if len(s.PeerCredential) < minBytes {
		d.Add("peer_credential", "is shorter than %d bytes", minBytes)
	}
	if len(s.OperatorCredentials) == 0 {
		d.Add("operator_credentials", "must name at least one operator")
	}
	for _, o := range s.OperatorCredentials {
		if o.Name == "" || len(o.SHA256) != 64 {
			d.Add("operator_credentials", "each needs a name and a sha256 of 64 hexadecimal digits")
		}
	}
}

func (s *Settings) checkTLS(d *document.Document) {
	for _, p := range []struct {
		path string
		pair Pair
	}{{"tls.callers", s.TLS.Callers}, {"tls.operators", s.TLS.Operators}, {"tls.peers", s.TLS.Peers}} {
		if (p.pair.Certificate == "") != (p.pair.Key == "") {
			d.Add(p.path, "needs both certificate and key")
		}
	}
	if (s.TLS.Peers.Certificate == "") != (s.TLS.PeerAuthority == "") {
		d.Add("tls.peer_authority", "must be set if and only if tls.peers is")
	}
}

func (s *Settings) checkLimits(d *document.Document) {
	const (
		minBytes   = 1 << 10
		maxBytes   = 256 << 20
		maxRecords = 1 << 16
	)
	if s.Limits.BodyBytes < minBytes || s.Limits.BodyBytes > maxBytes {
		d.Add("limits.body_bytes", "must be %d to %d", minBytes, maxBytes)
	}
	if s.Limits.HeaderBytes < minBytes || s.Limits.HeaderBytes > maxBytes {
		d.Add("limits.header_bytes", "must be %d to %d", minBytes, maxBytes)
	}
	if s.Limits.Records < 1 || s.Limits.Records > maxRecords {
		d.Add("limits.records", "must be 1 to %d", maxRecords)
	}
}

func (s *Settings) checkTiming(d *document.Document) {
	const maxRequest = time.Hour
	d.CheckWithin("timing.tick", s.Timing.Tick, 10*time.Millisecond, time.Second)
	d.CheckWithin("timing.poll", s.Timing.Poll, 100*time.Millisecond, 3*time.Second)
	d.CheckWithin("timing.load", s.Timing.Load, 50*time.Millisecond, 10*time.Second)
	d.CheckWithin("timing.gossip", s.Timing.Gossip, 50*time.Millisecond, 3*time.Second)
	d.CheckWithin("timing.lease", s.Timing.Lease, time.Second, time.Minute)
	d.CheckWithin("timing.notice", s.Timing.Notice, 0, time.Minute)
	d.CheckWithin("timing.request", s.Timing.Request, time.Second, maxRequest)
}
