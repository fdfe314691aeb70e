package kvcache

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/readlimit"
)

// maxCallBytes bounds an answer other than a piece, in bytes.
const maxCallBytes = 8 << 20

// Client is the client of store boxes. Set HTTP before first use.
type Client struct {
	HTTP *http.Client
}

// Find returns the manifests that the store box holds for the keys, shortest prefix
// first, up to the first missing one.
func (c *Client) Find(ctx context.Context, at netip.AddrPort, keys []string) (Found, error) {
	body := struct {
		Keys []string `json:"keys"`
	}{keys}
	var found Found
	err := c.call(ctx, c.to(at).Post("/v1/find").BodyJSON(body), &found)
	return found, trace.Wrap(err)
}

// manifests is the JSON of a list of manifests.
type manifests struct {
	Manifests []Manifest `json:"manifests"`
}

// Put writes sealed manifests. The store box rejects one without its piece, with
// trace.CompareFailed; those before it in the list are written.
func (c *Client) Put(ctx context.Context, at netip.AddrPort, run []Manifest) error {
	return trace.Wrap(c.call(ctx, c.to(at).Put("/v1/manifests").BodyJSON(manifests{run}), nil))
}

// Oldest returns up to limit manifests of the store box, those requested least recently
// first.
func (c *Client) Oldest(ctx context.Context, at netip.AddrPort, limit int) ([]Manifest, error) {
	var answer manifests
	err := c.call(ctx, c.to(at).Get("/v1/manifests?oldest="+strconv.Itoa(limit)), &answer)
	return answer.Manifests, trace.Wrap(err)
}

// Capacity returns the free bytes and the size of the store box.
func (c *Client) Capacity(ctx context.Context, at netip.AddrPort) (free, size int, err error) {
	var answer struct {
		Free int `json:"free"`
		Size int `json:"size"`
	}
	err = c.call(ctx, c.to(at).Get("/v1/room"), &answer)
	return answer.Free, answer.Size, trace.Wrap(err)
}

// Drop deletes a manifest. Its piece is deleted once no manifest lists it and no import
// pins it.
func (c *Client) Drop(ctx context.Context, at netip.AddrPort, key string) error {
	return trace.Wrap(c.call(ctx, c.to(at).Delete("/v1/manifests/"+key), nil))
}

// PutPiece writes one piece under its digest. It fails with trace.LimitExceeded if the
// store box is full.
func (c *Client) PutPiece(ctx context.Context, at netip.AddrPort, data []byte) error {
	call := c.to(at).Put("/v1/pieces/"+Digest(data)).Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(data))
	return trace.Wrap(c.call(ctx, call, nil))
}

// Piece reads one piece and pins it briefly against deletion. Bytes that do not match the
// digest are an error, never returned.
func (c *Client) Piece(ctx context.Context, at netip.AddrPort, p Piece) ([]byte, error) {
	request, err := c.to(at).Get("/v1/pieces/" + p.Digest).Request()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "store box %v", at)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.NotFound("store box %v: status %d for piece %s", at, response.StatusCode, p.Digest)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(p.Bytes)+1))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "store box %v", at)
	}
	if len(data) != p.Bytes || Digest(data) != p.Digest {
		return nil, trace.CompareFailed("store box %v: got %d bytes that do not match piece %s of %d bytes", at, len(data), p.Digest, p.Bytes)
	}
	return data, nil
}

func (c *Client) to(at netip.AddrPort) *sling.Sling {
	return sling.New().Doer(readlimit.Doer{HTTP: c.HTTP, MaxBody: maxCallBytes}).Base("http://" + at.String())
}

func (c *Client) call(ctx context.Context, call *sling.Sling, success any) error {
	request, err := call.Request()
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := call.Do(request.WithContext(ctx), success, nil)
	if err != nil {
		return trace.ConnectionProblem(err, "store box %s", request.URL.Host)
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return trace.NotFound("store box %s: not found", request.URL.Host)
	case http.StatusConflict:
		return trace.CompareFailed("store box %s: a manifest's piece is missing", request.URL.Host)
	case http.StatusInsufficientStorage:
		return trace.LimitExceeded("store box %s: full", request.URL.Host)
	}
	return trace.Errorf("store box %s: status %d", request.URL.Host, response.StatusCode)
}
