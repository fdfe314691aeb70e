package thymewind

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/settings"
	"github.com/thymewind/thymewind/strict"
)

// listeners are the daemon's three servers.
type listeners struct {
	callers, operators, peers listener
}

// listener is one server and the address it is bound to.
type listener struct {
	server  *http.Server
	address netip.AddrPort
}

// listen opens the three listeners, or none if one fails.
func (d *Daemon) listen() (*listeners, error) {
	operators := http.NewServeMux()
	operators.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	operators.HandleFunc("GET /readyz", d.readyz)
	operators.Handle("GET /metrics", promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}))
	operators.HandleFunc("POST /v1/query", d.operator(d.statement))
	operators.HandleFunc("POST /v1/changes", d.operator(d.changes))
	peers := http.NewServeMux()
	peers.Handle("/peer", d.peers.Handler())
	l := &listeners{}
	var err error
	for _, one := range []struct {
		into    *listener
		address netip.AddrPort
		pair    settings.Pair
		share   intake.Share
		handler http.Handler
	}{
		{&l.operators, d.Settings.Operators, d.Settings.TLS.Operators, intake.Operators, operators},
		{&l.peers, d.Settings.Peers, d.Settings.TLS.Peers, intake.Peers, peers},
		{&l.callers, d.Settings.Callers, d.Settings.TLS.Callers, intake.Callers, d.front.Handler()},
	} {
		if *one.into, err = d.serve(one.address, one.pair, one.share, one.handler); err != nil {
			l.close()
			return nil, trace.Wrap(err)
		}
	}
	if d.OnListening != nil {
		d.OnListening(l.callers.address, l.operators.address, l.peers.address)
	}
	return l, nil
}

// close drops all connections of the servers that were opened.
func (l *listeners) close() {
	for _, one := range []listener{l.callers, l.operators, l.peers} {
		if one.server != nil {
			_ = one.server.Close()
		}
	}
}

// serve opens one listener and serves on it in the background.
func (d *Daemon) serve(at netip.AddrPort, pair settings.Pair, share intake.Share, handler http.Handler) (listener, error) {
	const headerTimeout = 10 * time.Second
	socket, err := net.Listen("tcp", at.String())
	if err != nil {
		return listener{}, trace.Wrap(err)
	}
	bound, err := netip.ParseAddrPort(socket.Addr().String())
	if err != nil {
		return listener{}, trace.Wrap(err)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: d.Settings.Limits.HeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: d.Log.StandardLog(),
	}
	socket = d.gate.Guard(server, socket, share)
	if pair.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(pair.Certificate, pair.Key)
		if err != nil {
			_ = socket.Close()
			return listener{}, trace.Wrap(err, "key pair of %v", at)
		}
		socket = tls.NewListener(socket, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12})
	}
	go func() {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error("listener failed", "address", at, "err", err)
		}
	}()
	return listener{server, bound}, nil
}

// readyz tells the load balancer whether to send callers here.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || d.current.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// peerTLS returns the HTTP client for peers whose listeners use TLS.
func peerTLS(s settings.TLS) (*http.Client, error) {
	authority, err := os.ReadFile(s.PeerAuthority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, trace.BadParameter("%s holds no certificate", s.PeerAuthority)
	}
	return peerClient(&tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}), nil
}

// peerClient returns the HTTP client for peers, over TLS if a configuration for that is given.
func peerClient(over *tls.Config) *http.Client {
	return &http.Client{Transport: strict.New(&http.Transport{TLSClientConfig: over, MaxResponseHeaderBytes: maxHeadBytes})}
}

// flushRemaining writes the waiting charges, with retries until its timeout.
func (d *Daemon) flushRemaining(ctx context.Context) {
	const (
		timeout = 10 * time.Second
		pause   = 200 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for d.ledger.Pending() > 0 {
		if d.ledger.Flush(ctx) != nil && wait(ctx, pause) != nil {
			d.Log.Error("charges could not be written and are lost", "accounts", d.ledger.Pending())
			return
		}
	}
}

// drain stops in order: it reports not ready, waits for the notice time, closes the
// callers' listener, waits for the last answer, and then releases the leases and
// writes the remaining charges.
func (d *Daemon) drain(ctx context.Context, l *listeners) error {
	d.stopping.Store(true)
	d.Log.Info("stopping", "notice", d.Settings.Timing.Notice)
	_ = wait(ctx, d.Settings.Timing.Notice)
	// Shutdown waits for the last request without a timeout, as an answer may take long. Requests that
	// don't arrive are ended meanwhile.
	arriving, cancel := context.WithCancel(ctx)
	defer cancel()
	go d.gate.Drain(arriving)
	err := d.shutdown(l.callers.server, ctx)
	d.Log.Info("last answer sent")
	d.releaseLeases(ctx)
	d.flushRemaining(ctx)
	_ = l.operators.server.Shutdown(ctx)
	l.close()
	d.peers.Close()
	return trace.Wrap(err)
}
