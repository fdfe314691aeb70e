package hostile_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

const (
	// streamTime is how long a stream may take to bring its next event.
	streamTime = 3 * time.Second
	// stillTime is how long a box stands still, with a release meanwhile.
	stillTime = time.Second
	// begunStreams is how many streams of the new version are begun and taken up in each case.
	begunStreams = 6
)

// release is three boxes before engines of which some get a new version.
type release struct {
	t     *testing.T
	store *standin.Store
	path  string
	boxes []*frontBox
}

// startRelease starts the boxes and the engines of the old version.
func startRelease(t *testing.T, path string) *release {
	t.Helper()
	s := standin.NewStore()
	t.Cleanup(s.Close)
	r := &release{t: t, store: s, path: path}
	r.addEngines("v1")
	plain := &standin.Replica{ID: "plain", Service: "orders", Zone: "a"}
	plain.Start(s)
	t.Cleanup(plain.Stop)
	resumable := standin.Route("resumable", "streaming", "models", time.Minute)
	resumable["resumable"] = true
	s.Configure(1,
		[]map[string]any{
			{"name": "orders", "health_path": "/health", "max_connections": 16},
			{"name": "models", "health_path": "/health", "engine": map[string]any{"slots": 8, "kv_capacity": 100000, "models": []map[string]any{{"name": "m"}}}},
		},
		[]map[string]any{resumable, standin.Route("safe", "safe", "orders", time.Minute)},
		[]map[string]any{{"name": "cafe", "api_keys": []string{"good-key"}}})
	for i := range 3 {
		r.boxes = append(r.boxes, startFrontNamed(t, path, s, fmt.Sprintf("entry-%d", i+1), ""))
	}
	for i, b := range r.boxes {
		eventually(t, "streams are served", func() bool {
			version, _ := r.stream(b, fmt.Sprintf("first-%d", i), "", "")
			return version != ""
		})
	}
	return r
}

// addEngines starts two engines of a version.
func (r *release) addEngines(version string) {
	for i := range 2 {
		e := &standin.Replica{ID: fmt.Sprintf("%s-%d", version, i), Service: "models", Zone: "a", Model: "m", Version: 1, Events: 6, Software: version, EventInterval: 10 * time.Millisecond}
		e.Start(r.store)
		r.t.Cleanup(e.Stop)
	}
}

// stream begins a stream, or takes one up behind an event, and returns the version that sends its next
// event and the status. It is left after that event.
func (r *release) stream(b *frontBox, id, begunBy, last string) (version string, status int) {
	r.t.Helper()
	ctx, leave := context.WithTimeout(context.Background(), streamTime)
	defer leave()
	ask := request(r.t, http.MethodPost, "http://"+b.callers.String()+"/resumable/x?"+standin.NamesSoftware, "x", http.Header{
		headers.RequestID: {id}, headers.APIKey: {"good-key"}, headers.Model: {"m"}, headers.DeadlineMS: {"10000"},
	}).WithContext(ctx)
	ask.Host = "shop.example"
	if begunBy != "" {
		ask.Header.Set(headers.Resumes, begunBy)
		ask.Header.Set(headers.LastEventID, last)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(ask)
	if err != nil {
		return "", 0
	}
	defer func() { _ = response.Body.Close() }()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, is := strings.CutPrefix(lines.Text(), standin.SoftwareComment); is {
			return text, response.StatusCode
		}
	}
	return "", response.StatusCode
}

// TestReleaseBesideBoxOutOfStep has engines of a new version come while a box stands still, or while it
// starts, and has streams that they began through other boxes taken up at that box, which may or may not
// reach the others. It guards against a stream going on at another version.
func TestReleaseBesideBoxOutOfStep(t *testing.T) {
	path := build(t, "thymefront")
	tests := []struct {
		name string
		// restarted has the box start anew instead of standing still; cutOff has the other boxes stand still
		// when the streams are taken up.
		restarted, cutOff bool
	}{
		{"stood still", false, false},
		{"stood still, cut off from the others", false, true},
		{"started", true, false},
		{"started, cut off from the others", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := startRelease(t, path)
			late := r.boxes[0]
			r.signal(late, syscall.SIGSTOP)
			r.addEngines("v2")
			pause(stillTime)
			var begun []string
			eventually(t, "streams of the new version begin", func() bool {
				id := fmt.Sprintf("begun-%d", time.Now().UnixNano())
				if version, _ := r.stream(r.boxes[1+len(begun)%2], id, "", ""); version == "v2" {
					begun = append(begun, id)
				}
				return len(begun) == begunStreams
			})
			if tt.cutOff {
				r.signal(r.boxes[1], syscall.SIGSTOP)
				r.signal(r.boxes[2], syscall.SIGSTOP)
			}
			if tt.restarted {
				r.signal(late, syscall.SIGKILL)
				<-late.exited
				late = startFrontAt(t, path, late)
			} else {
				r.signal(late, syscall.SIGCONT)
			}
			r.takeUp(late, begun, tt.cutOff)
		})
	}
}

// takeUp takes streams of the new version up at a box until each went on, or was refused for some time.
func (r *release) takeUp(late *frontBox, begun []string, cutOff bool) {
	r.t.Helper()
	goneOn, tries := make(map[string]bool), 0
	for end := time.Now().Add(streamTime); time.Now().Before(end) && len(goneOn) < len(begun); {
		for i, id := range begun {
			version, status := r.stream(late, fmt.Sprintf("%s-%d-%d", id, i, tries), id, "1")
			tries++
			if version != "" && version != "v2" {
				r.t.Fatalf("%s went on at %s after %d tries, status %d", id, version, tries, status)
			}
			if version == "v2" {
				goneOn[id] = true
			}
		}
		pause(readyPause)
	}
	if len(goneOn) < len(begun) && !cutOff {
		r.t.Errorf("%d of %d streams went on", len(goneOn), len(begun))
	}
	r.t.Logf("%d of %d streams went on, %d tries", len(goneOn), len(begun), tries)
}

func (r *release) signal(b *frontBox, s syscall.Signal) {
	r.t.Helper()
	if err := b.process.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}
