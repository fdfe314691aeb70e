package thymewind

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/settings"
)

// keyPair writes a self-signed certificate for loopback and its key.
func keyPair(t *testing.T) settings.Pair {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	p := settings.Pair{Certificate: filepath.Join(dir, "certificate.pem"), Key: filepath.Join(dir, "key.pem")}
	for file, block := range map[string]*pem.Block{
		p.Certificate: {Type: "CERTIFICATE", Bytes: certificate}, p.Key: {Type: "PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// TestPeersOverTLS has a daemon call itself as a peer over TLS. The call fails if it
// trusts another authority only.
func TestPeersOverTLS(t *testing.T) {
	own, other := keyPair(t), keyPair(t)
	tests := []struct {
		name      string
		authority string
		ok        bool
	}{
		{"trusted", own.Certificate, true},
		{"another authority", other.Certificate, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDaemon(t)
			d.Settings.PeerCredential = "a credential for tests"
			d.Settings.TLS = settings.TLS{Peers: own, PeerAuthority: tt.authority}
			if err := d.buildPeers(); err != nil {
				t.Fatal(err)
			}
			l, err := d.serve(netip.MustParseAddrPort("127.0.0.1:0"), own, intake.Peers, d.peers.Handler())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.server.Close() }()
			_, err = d.peers.Call(t.Context(), l.address, peer.Message{Kind: "nothing"})
			if (err == nil) != tt.ok {
				t.Errorf("Call = %v, want ok %v", err, tt.ok)
			}
		})
	}
}
