package answerhead_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/thymewind/thymewind/answerhead"
)

// TestCheckResponse checks heads that net/http reads.
func TestCheckResponse(t *testing.T) {
	tests := []struct {
		name, head string
		valid      bool
	}{
		{"an ordinary head", "HTTP/1.1 200 OK\r\nX-Name!#$%&'*+-.^_`|~1: x\r\n", true},
		{"an earlier version", "HTTP/1.0 200 OK\r\n", true},
		{"the least status", "HTTP/1.1 100 Continue\r\n", true},
		{"the greatest status", "HTTP/1.1 599 Unknown\r\n", true},
		{"status 000", "HTTP/1.1 000 Unknown\r\n", false},
		{"status 099", "HTTP/1.1 099 Unknown\r\n", false},
		{"a status with a sign", "HTTP/1.1 +20 OK\r\n", false},
		{"status 600", "HTTP/1.1 600 Unknown\r\n", false},
		{"another version", "HTTP/2.0 200 OK\r\n", false},
		{"version zero", "HTTP/0.9 200 OK\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.head+"\r\n")), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			if err := answerhead.CheckResponse(response); (err == nil) != tt.valid {
				t.Errorf("got %v", err)
			}
		})
	}
}
