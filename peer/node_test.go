package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/peer"
)

func newNode(credential string) *peer.Node {
	return &peer.Node{
		Credential: credential, HTTP: http.DefaultClient, Scheme: "ws", OnSent: func(int) {}, OnReceived: func(int) {},
		Handle: func(_ context.Context, m peer.Message) peer.Message {
			return peer.Message{Kind: m.Kind, From: "answering", Revision: m.Revision + 1}
		},
	}
}

func TestCall(t *testing.T) {
	server := httptest.NewServer(newNode("secret").Handler())
	defer server.Close()
	at := netip.MustParseAddrPort(server.Listener.Addr().String())
	tests := []struct {
		name, credential string
		ok               bool
	}{
		{"the shared credential", "secret", true},
		{"another credential", "Secret", false},
		{"none", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n := newNode(tt.credential)
			defer n.Close()
			for i := range uint64(3) {
				got, err := n.Call(context.Background(), at, peer.Message{Kind: peer.KindGossip, Revision: i})
				if (err == nil) != tt.ok || (tt.ok && got.Revision != i+1) {
					t.Errorf("Call = %+v, %v", got, err)
				}
			}
		})
	}
}

// FuzzMessage looks for a peer's bytes that crash the decoder.
func FuzzMessage(f *testing.F) {
	data, err := cbor.Marshal(peer.Message{Kind: peer.KindGossip, Loads: []peer.Load{{Target: 7}}, Leaving: []peer.Leaving{{Target: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m peer.Message
		_ = cbor.Unmarshal(data, &m)
	})
}
