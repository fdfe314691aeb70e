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
)

// Settings are what one daemon knows before it talks to anyone.
type Settings struct {
	// Name is the box's name, unique among live boxes.
	Name string `yaml:"name"`
	// Domain is the box's failure domain, Region the region it lies in.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// Callers, Operators and Peers are the listeners' addresses.
	Callers   netip.AddrPort `yaml:"callers"`
	Operators netip.AddrPort `yaml:"operators"`
	Peers     netip.AddrPort `yaml:"peers"`
	// KnownPeers are asked for the configuration and the list of boxes by a
	// daemon that boots while the platform is down. They may be gone.
	KnownPeers []netip.AddrPort `yaml:"known_peers"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// TokenKeys sign resume tokens; the first signs, all are accepted. They
	// are the same on every box.
	TokenKeys []string `yaml:"token_keys"`
	// PeerCredential is what daemons show each other.
	PeerCredential string `yaml:"peer_credential"`
	// OperatorCredentials are who may ask and order.
	OperatorCredentials []Operator `yaml:"operator_credentials"`
	// TLS gives a key pair to a listener; a listener without one is plain.
	TLS TLS `yaml:"tls"`
	// Limits bound what callers may send.
	Limits Limits `yaml:"limits"`
	// Timing sets how often things happen.
	Timing Timing `yaml:"timing"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
}

// Operator is one operator's name and the SHA-256 of the credential, in
// hexadecimal.
type Operator struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
}

// TLS names the key pair files of each listener.
type TLS struct {
	Callers   Pair `yaml:"callers"`
	Operators Pair `yaml:"operators"`
	Peers     Pair `yaml:"peers"`
	// PeerAuthority is the certificate file that peers' certificates are
	// checked against. It is set if Peers is.
	PeerAuthority string `yaml:"peer_authority"`
}

// Pair is a certificate file and its key file, both set or both empty.
type Pair struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
}

// Limits bound callers' requests, in bytes.
type Limits struct {
	BodyBytes   int64 `yaml:"body_bytes"`
	HeaderBytes int   `yaml:"header_bytes"`
	// Records bounds the decision records kept.
	Records int `yaml:"records"`
}

// Timing sets the daemon's intervals.
type Timing struct {
	// Tick is how often systems run over the tables.
	Tick time.Duration `yaml:"tick"`
	// Poll is how often the list of boxes and the configuration head are read.
	Poll time.Duration `yaml:"poll"`
	// Load is how often each target's load is read.
	Load time.Duration `yaml:"load"`
	// Gossip is how often a few peers are told what changed.
	Gossip time.Duration `yaml:"gossip"`
	// Lease is how long a lease lasts.
	Lease time.Duration `yaml:"lease"`
	// Notice is how long a stopping daemon keeps answering new requests while
	// the balancer notices that it is not ready.
	Notice time.Duration `yaml:"notice"`
	// Request bounds a caller's request when the caller gives no deadline.
	Request time.Duration `yaml:"request"`
}

// defaults are the settings of an empty file.
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

// Parse reads the settings in data, which came from the file called name. The
// error holds every finding.
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
	s.checkLimits(d)
	s.checkTiming(d)
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
	const shortest = 16
	if len(s.TokenKeys) == 0 {
		d.Add("token_keys", "must hold at least one key")
	}
	for _, key := range s.TokenKeys {
		if len(key) < shortest {
			d.Add("token_keys", "a key is shorter than %d bytes", shortest)
		}
	}
	if len(s.PeerCredential) < shortest {
		d.Add("peer_credential", "is shorter than %d bytes", shortest)
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
		d.Add("tls.peer_authority", "goes with tls.peers")
	}
}

func (s *Settings) checkLimits(d *document.Document) {
	const (
		smallest = 1 << 10
		largest  = 256 << 20
		records  = 1 << 16
	)
	if s.Limits.BodyBytes < smallest || s.Limits.BodyBytes > largest {
		d.Add("limits.body_bytes", "must be %d to %d", smallest, largest)
	}
	if s.Limits.HeaderBytes < smallest || s.Limits.HeaderBytes > largest {
		d.Add("limits.header_bytes", "must be %d to %d", smallest, largest)
	}
	if s.Limits.Records < 1 || s.Limits.Records > records {
		d.Add("limits.records", "must be 1 to %d", records)
	}
}

func (s *Settings) checkTiming(d *document.Document) {
	const longest = time.Hour
	d.CheckWithin("timing.tick", s.Timing.Tick, 10*time.Millisecond, time.Second)
	d.CheckWithin("timing.poll", s.Timing.Poll, 100*time.Millisecond, 3*time.Second)
	d.CheckWithin("timing.load", s.Timing.Load, 50*time.Millisecond, 10*time.Second)
	d.CheckWithin("timing.gossip", s.Timing.Gossip, 50*time.Millisecond, 3*time.Second)
	d.CheckWithin("timing.lease", s.Timing.Lease, time.Second, time.Minute)
	d.CheckWithin("timing.notice", s.Timing.Notice, 0, time.Minute)
	d.CheckWithin("timing.request", s.Timing.Request, time.Second, longest)
}
