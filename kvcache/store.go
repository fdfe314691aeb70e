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
)

// Client is the client of store boxes. Set HTTP before first use.
type Client struct {
	HTTP *http.Client
}

// Find returns the manifests that the store box holds for the keys, shortest
// prefix first, up to the first one that it lacks.
func (s *Client) Find(ctx context.Context, at netip.AddrPort, keys []string) (Found, error) {
	body := struct {
		Keys []string `json:"keys"`
	}{keys}
	var found Found
	err := s.call(ctx, s.to(at).Post("/v1/find").BodyJSON(body), &found)
	return found, trace.Wrap(err)
}

// manifests is how manifests travel.
type manifests struct {
	Manifests []Manifest `json:"manifests"`
}

// Put writes sealed manifests. The store box refuses one whose piece it lacks
// with trace.CompareFailed; those before it in the list are written.
func (s *Client) Put(ctx context.Context, at netip.AddrPort, run []Manifest) error {
	return trace.Wrap(s.call(ctx, s.to(at).Put("/v1/manifests").BodyJSON(manifests{run}), nil))
}

// Oldest returns up to limit manifests of the store box, those first that were
// not asked for for longest.
func (s *Client) Oldest(ctx context.Context, at netip.AddrPort, limit int) ([]Manifest, error) {
	var answer manifests
	err := s.call(ctx, s.to(at).Get("/v1/manifests?oldest="+strconv.Itoa(limit)), &answer)
	return answer.Manifests, trace.Wrap(err)
}

// Capacity returns the free bytes and the size of the store box.
func (s *Client) Capacity(ctx context.Context, at netip.AddrPort) (free, size int, err error) {
	var answer struct {
		Free int `json:"free"`
		Size int `json:"size"`
	}
	err = s.call(ctx, s.to(at).Get("/v1/room"), &answer)
	return answer.Free, answer.Size, trace.Wrap(err)
}

// Drop deletes a manifest. Its pieces go once no manifest lists them and no
// import has them pinned.
func (s *Client) Drop(ctx context.Context, at netip.AddrPort, key string) error {
	return trace.Wrap(s.call(ctx, s.to(at).Delete("/v1/manifests/"+key), nil))
}

// PutPiece writes one piece under its digest. It fails with
// trace.LimitExceeded when the store box is full.
func (s *Client) PutPiece(ctx context.Context, at netip.AddrPort, data []byte) error {
	call := s.to(at).Put("/v1/pieces/"+Digest(data)).Set("Content-Type", "application/octet-stream").Body(bytes.NewReader(data))
	return trace.Wrap(s.call(ctx, call, nil))
}

// Piece reads one piece and pins it shortly against deletion. Bytes that don't
// match the digest are an error, never returned.
func (s *Client) Piece(ctx context.Context, at netip.AddrPort, p Piece) ([]byte, error) {
	request, err := s.to(at).Get("/v1/pieces/" + p.Digest).Request()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := s.HTTP.Do(request.WithContext(ctx))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "store box %v", at)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, trace.NotFound("store box %v answers status %d for piece %s", at, response.StatusCode, p.Digest)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(p.Bytes)+1))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "store box %v", at)
	}
	if len(data) != p.Bytes || Digest(data) != p.Digest {
		return nil, trace.CompareFailed("store box %v sent other bytes for piece %s", at, p.Digest)
	}
	return data, nil
}

func (s *Client) to(at netip.AddrPort) *sling.Sling {
	return sling.New().Client(s.HTTP).Base("http://" + at.String())
}

func (s *Client) call(ctx context.Context, call *sling.Sling, success any) error {
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
		return trace.NotFound("store box %s has none of it", request.URL.Host)
	case http.StatusConflict:
		return trace.CompareFailed("store box %s lacks a piece", request.URL.Host)
	case http.StatusInsufficientStorage:
		return trace.LimitExceeded("store box %s is full", request.URL.Host)
	}
	return trace.Errorf("store box %s answers status %d", request.URL.Host, response.StatusCode)
}
