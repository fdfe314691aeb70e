package thymewind

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/query"
	"github.com/thymewind/thymewind/report"
)

// maxOperatorBody bounds an operator's request body, in bytes; operatorCopies is how often it is in
// memory as it is decoded.
const (
	maxOperatorBody = 16 << 20
	operatorCopies  = 4
)

// operator returns a handler that serves operators with a valid credential.
func (d *Daemon) operator(serve func(ctx context.Context, name string, body []byte) report.Report) http.HandlerFunc {
	const timeout = 10 * time.Second
	return func(w http.ResponseWriter, r *http.Request) {
		name, ok := d.operatorName(r.Header.Get("Authorization"))
		if !ok {
			http.Error(w, "the operator credential is missing or wrong", http.StatusUnauthorized)
			return
		}
		body, held, err := d.gate.ReadBody(w, r, maxOperatorBody, operatorCopies, timeout)
		defer held.Close()
		if err != nil {
			refused := intake.Refusal(err, maxOperatorBody, 0)
			http.Error(w, refused.Reason, refused.Status)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		answer := serve(ctx, name, body)
		w.Header().Set("Content-Type", "application/json")
		if answer.Error != "" {
			w.WriteHeader(http.StatusUnprocessableEntity)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// operatorName returns the name of the operator whose credential the header holds. It
// compares with every credential in constant time, so that timing reveals nothing.
func (d *Daemon) operatorName(header string) (name string, ok bool) {
	credential, bearer := strings.CutPrefix(header, "Bearer ")
	if !bearer {
		return "", false
	}
	sum := sha256.Sum256([]byte(credential))
	got := []byte(hex.EncodeToString(sum[:]))
	for _, o := range d.Settings.OperatorCredentials {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(o.SHA256))) == 1 {
			name, ok = o.Name, true
		}
	}
	return name, ok
}

// statement serves one statement of the operator language.
func (d *Daemon) statement(ctx context.Context, name string, body []byte) report.Report {
	var in struct {
		Statement string `json:"statement"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return report.FromError(trace.BadParameter("the body is not the JSON of a statement: %v", err))
	}
	s, err := query.Parse(in.Statement)
	if err != nil {
		return report.FromError(err)
	}
	switch {
	case s.Help:
		return report.Report{Text: query.Help}
	case s.Show != nil && !fansOut(s.Show.Thing):
		return d.show(ctx, *s.Show)
	case s.Show != nil, s.Why != nil:
		return d.fanOut(ctx, in.Statement, s)
	case s.Who != nil:
		return d.who(ctx, *s.Who)
	case s.Leave != nil:
		return d.setLeaving(ctx, name, *s.Leave, true)
	case s.Return != nil:
		return d.setLeaving(ctx, name, *s.Return, false)
	}
	return d.edit(ctx, name, s)
}

// fansOut reports whether a kind of thing has rows at each box.
func fansOut(thing string) bool { return thing == "decisions" || thing == "boxes" }

// fanOut serves a statement at this box and all peers. The report names the boxes that
// did not answer.
func (d *Daemon) fanOut(ctx context.Context, text string, s query.Statement) report.Report {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	all := d.local(ctx, s)
	var peers []callPeer
	d.inspect(ctx, func(_ time.Time, t *tables) {
		for name, p := range t.peers.All() {
			message := peer.Message{Kind: peer.KindQuery, From: d.Settings.Name, Statement: text}
			peers = append(peers, callPeer{name: name, address: p.address, message: message})
		}
	})
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, p := range peers {
		calls.Go(func() {
			answer, err := d.peers.Call(ctx, p.address, p.message)
			var theirs report.Report
			if err == nil {
				err = json.Unmarshal(answer.Body, &theirs)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				all.Missing = append(all.Missing, p.name)
			}
			all.Rows = append(all.Rows, theirs.Rows...)
		})
	}
	calls.Wait()
	slices.SortStableFunc(all.Rows, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	if s.Show != nil {
		all.Last(s.Show.Last)
	}
	return all
}

// answerQuery serves a statement that a peer fans out.
func (d *Daemon) answerQuery(ctx context.Context, text string) []byte {
	answer := report.Report{}
	s, err := query.Parse(text)
	if err != nil {
		answer = report.FromError(err)
	} else {
		answer = d.local(ctx, s)
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil
	}
	return body
}

// local serves a statement from this box's state only.
func (d *Daemon) local(ctx context.Context, s query.Statement) report.Report {
	if s.Why != nil {
		return d.why(*s.Why)
	}
	if s.Show == nil {
		return report.Report{}
	}
	return d.show(ctx, *s.Show)
}

// inspect calls read inside the loop and waits for it. It returns without a result if
// ctx ends first.
func (d *Daemon) inspect(ctx context.Context, read func(now time.Time, t *tables)) {
	done := make(chan struct{})
	if d.send(ctx, inspection{read, done}) != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}
