package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/hangup"
	"github.com/thymewind/thymewind/intake"
)

// Limits of callers' connections and of a stop.
const (
	// headerTimeout limits how long a caller may take to send a head, idleTimeout how long
	// its connection may be idle; both are above what the platform's callers need.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes limits a head until a configuration sets its limit.
	maxHeaderBytes = 64 << 10
	// shutdownMargin is how much earlier the process exits than the platform would kill it.
	shutdownMargin = 600 * time.Millisecond
	// stopAnswerMargin is how much earlier requests without an answer are ended, so that their callers are
	// told.
	stopAnswerMargin = 300 * time.Millisecond
)

// listen opens all listeners before any is served.
func (d *Daemon) listen() ([]*http.Server, error) {
	front := d.Front(d.server.Serve, d.now, d.closing.Load)
	list := []struct {
		at      netip.AddrPort
		handler http.Handler
		share   intake.Share
	}{
		{d.Settings.Callers, front, intake.Callers},
		{d.Settings.Ready, http.HandlerFunc(d.serveReady), intake.Operators},
		{d.Settings.Peers, d.peerHandler(), intake.Peers},
		{d.Settings.Metrics, promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{}), intake.Operators},
	}
	var servers []*http.Server
	var listeners []net.Listener
	for _, l := range list {
		if !l.at.IsValid() {
			continue
		}
		listener, err := listenTCP(l.at.String(), tcpUserTimeout)
		if err != nil {
			return nil, trace.Wrap(err, "listening on %v", l.at)
		}
		if l.at == d.Settings.Callers && d.Settings.Overload.HeldBytes {
			listener = d.callers.watch(listener)
		}
		server := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: d.Log.StandardLog(), ConnContext: hangup.ConnContext}
		listeners = append(listeners, d.gate.Guard(server, listener, l.share))
		servers = append(servers, server)
	}
	for i, s := range servers {
		d.effects.Go(func() {
			if err := s.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				d.Log.Error("listener failed", "at", listeners[i].Addr(), "err", err)
			}
		})
	}
	return servers, nil
}

// peerHandler answers other boxes once the credential was read.
func (d *Daemon) peerHandler() http.Handler {
	handler := http.NewServeMux()
	handler.Handle("/", d.peers.Handler())
	handler.Handle(handoff.Path, d.handoff.Handler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.credential.Load() == nil {
			http.Error(w, "this box has not read the credential yet", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// serveReady answers whether this box should get new connections.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.stopping.Load() || !d.admitsKeyed(d.now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain stops in order: it reports not ready at once, still serves new connections until the
// platform has noticed that, and closes each connection after its next answer.
func (d *Daemon) drain(servers []*http.Server) {
	bounds := d.bounds.Load()
	end := d.now().Add(bounds.Stop - shutdownMargin)
	d.stopEnds.Store(&end)
	d.stopping.Store(true)
	d.Log.Info("stopping", "kill_after", bounds.Stop)
	d.closing.Store(true)
	d.server.BeginStop(deliver.Stop{NoticedBy: d.now().Add(bounds.Notice), AnswerBy: end.Add(-stopAnswerMargin)})
	time.Sleep(bounds.Notice)
	ctx, cancel := context.WithTimeout(context.Background(), end.Sub(d.now()))
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.Log.Warn("requests were cut off at the end of the stop", "err", err)
			_ = s.Close() // The process exits next.
		}
	}
	d.handoff.Drain(ctx) // Servers don't wait for connections that were upgraded.
}
