package settings_test

import (
	"strings"
	"testing"

	"github.com/thymewind/thymewind/entry/settings"
)

// TestBoundsWithoutContracts guards against a deployment on which what clients have a box hold has no
// bound unless its settings ask for one.
func TestBoundsWithoutContracts(t *testing.T) {
	tests := []struct {
		name, setting string
		want          bool
	}{
		{"nothing set", "", true},
		{"another part of overload", "overload: {queue: true}\n", true},
		{"switched off", "overload: {held_bytes: false}\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := settings.Parse("s.yaml", []byte(good+tt.setting))
			if err != nil || s.Overload.HeldBytes != tt.want {
				t.Errorf("held bytes are counted: %v, %v", s.Overload.HeldBytes, err)
			}
		})
	}
}

// TestClients guards against limits of clients that make no sense.
func TestClients(t *testing.T) {
	bad := "clients: {connections: -1, peer_connections: -1, operator_connections: -1, receive_bytes: -1, slow_after: -1s, body_timeout: 2h}\n"
	_, err := settings.Parse("s.yaml", []byte(good+bad))
	if err == nil {
		t.Fatal("no finding")
	}
	for _, name := range []string{"connections", "peer_connections", "operator_connections", "receive_bytes", "slow_after", "body_timeout"} {
		if !strings.Contains(err.Error(), "clients."+name) {
			t.Errorf("no finding for %s in %v", name, err)
		}
	}
}
