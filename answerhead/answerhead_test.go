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
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX-Bad Name: x\r\n", false},
		{"a blank before a colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n", false},
		{"a blank in a name of an informational head", "HTTP/1.1 103 Early Hints\r\nX-Bad Name: x\r\n", false},
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

// TestCheck checks what net/http's parser does not let through, but another box may send.
func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		valid  bool
	}{
		{"no fields", nil, true},
		{"a value in UTF-8", http.Header{"X-Name": {"Quezón\tCity"}}, true},
		{"an empty name", http.Header{"": {"x"}}, false},
		{"a control byte in a name", http.Header{"X-\x01": {"x"}}, false},
		{"a line break in a name", http.Header{"X: y\r\nX-Other": {"x"}}, false},
		{"a line break in a value", http.Header{"X-Name": {"x", "x\r\nX-Other: y"}}, false},
		{"a zero byte in a value", http.Header{"X-Name": {"x\x00"}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := answerhead.Check(http.StatusOK, tt.header); (err == nil) != tt.valid {
				t.Errorf("got %v", err)
			}
		})
	}
}
