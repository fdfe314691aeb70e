// Package boxes reads the platform's list of live and leaving boxes.
//
// The list can be stale: a box that does not exist any more may still be listed as
// live.
package boxes

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/readlimit"
)

// The roles a box may have.
const (
	// RoleEntry boxes run this system's daemons.
	RoleEntry = "entry"
	// RoleEngine boxes run model engines.
	RoleEngine = "engine"
	// RoleStore boxes store KV cache.
	RoleStore = "store"
	// RoleService boxes run plain services.
	RoleService = "service"
)

// Box is one entry of the platform's list.
type Box struct {
	// Name is unique among live boxes.
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Address netip.AddrPort `json:"address"`
	// Peer is the address at which an entry box's daemon listens for peers.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Pool names the pool a target belongs to.
	Pool string `json:"pool,omitempty"`
	// Leaving says that the box is about to be removed.
	Leaving bool `json:"leaving,omitempty"`
}

// maxAnswerBytes bounds the list, in bytes.
const maxAnswerBytes = 8 << 20

// List reads the platform's list. Set the exported fields before first use. It is not
// safe for concurrent use.
type List struct {
	// Base is the platform's URL without a trailing slash.
	Base string
	HTTP *http.Client

	// etag is the entity tag of the list last read. An unchanged list is not sent
	// again.
	etag string
}

// Read returns the listed boxes, or false if the list is the same as on the last call.
func (l *List) Read(ctx context.Context) (all []Box, changed bool, err error) {
	var answer struct {
		Boxes []Box `json:"boxes"`
	}
	request, err := sling.New().Base(l.Base).Get("/v1/boxes").Set("If-None-Match", l.etag).Request()
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	response, err := sling.New().Doer(readlimit.Doer{HTTP: l.HTTP, MaxBody: maxAnswerBytes}).Do(request.WithContext(ctx), &answer, nil)
	if err != nil {
		return nil, false, trace.ConnectionProblem(err, "reading the list of boxes failed")
	}
	switch response.StatusCode {
	case http.StatusOK:
		l.etag = response.Header.Get("ETag")
		return answer.Boxes, true, nil
	case http.StatusNotModified:
		return nil, false, nil
	}
	return nil, false, trace.ConnectionProblem(nil, "reading the list of boxes failed: status %d", response.StatusCode)
}
