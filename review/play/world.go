//go:build review

package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

// The bounds of the platform, as on the sheets of the small deployments.
const (
	configApply = 2 * time.Second
	grace       = 8 * time.Second
)

// settle is how long after the boxes the traffic starts.
const settle = 4 * time.Second

// world is one small deployment: the table service, the boxes and what happened.
type world struct {
	program string
	trouble bool
	dir     string
	began   time.Time
	store   *standin.Store
	boxes   []*box
	// settings changes the settings of lbh-dispatch into another site's; nil changes nothing.
	settings *strings.Replacer

	mu     sync.Mutex
	record *os.File
}

func newWorld(program, path string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "play")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, dir: dir, began: boottime.Now(), store: standin.NewStore(), record: record}
	w.log("disruption: %v", trouble)
	return w, nil
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, b := range w.boxes {
		b.kill()
	}
	w.store.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// lengthLimit is below the 120 s that a script may run.
const lengthLimit = 112 * time.Second

// endAfter ends the case and all its processes after a time, or if it is told to end.
func (w *world) endAfter(length time.Duration) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-told:
		case <-time.After(length):
		}
		w.log("the case was ended")
		w.close()
		os.Exit(2)
	}()
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", boottime.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// box is one thymefront process.
type box struct {
	name         string
	front, ready netip.AddrPort
	settings     string
	logPath      string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// expected says that the case ended the process.
	expected bool
}

// settingsText is the template of the deploy file, filled for the site lbh-dispatch.
const settingsText = `name: %q
domain: "zone-a"
region: "area-a"
callers: %q
ready: %q
metrics: %q
peers: %q
store:
  address: %q
  reads_per_second: 2000
box:
  memory_mb: 284
  descriptors: 4100
  share: 0.4
  megabits: 1000
contracts: ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
bounds:
  stop: 8s
  drain: 2000ms
  applied_within: 2000ms
  revoked_within: 5000ms
  retry_share: 0.2
  retry_extra: 52
  retry_window: 10s
  takeover: 3000ms
  weights_within: 12000ms
  stretch: 5000ms
`

// freeAddresses returns free loopback addresses.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, netip.MustParseAddrPort(l.Addr().String()))
	}
	return list, nil
}

// startBoxes starts so many boxes and waits until all of them are ready.
func (w *world) startBoxes(n int) error {
	for i := range n {
		at, err := freeAddresses(4)
		if err != nil {
			return err
		}
		b := &box{name: fmt.Sprintf("front-a-%d", i+1), front: at[0], ready: at[1]}
		b.settings = filepath.Join(w.dir, b.name+".yaml")
		b.logPath = filepath.Join(w.dir, b.name+".log")
		text := fmt.Sprintf(settingsText, b.name, at[0], at[1], at[2], at[3], w.store.Address())
		if w.settings != nil {
			text = w.settings.Replace(text)
		}
		if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := b.start(w.program); err != nil {
			return err
		}
		w.boxes = append(w.boxes, b)
		w.log("%s started, callers at %v", b.name, b.front)
	}
	for _, b := range w.boxes {
		if err := b.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settle)
	w.log("all boxes are ready")
	return nil
}

func (b *box) start(program string) error {
	out, err := os.OpenFile(b.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // The process has its own descriptor.
	process := exec.Command(program, "-settings", b.settings)
	process.Stdout, process.Stderr = out, out
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	b.mu.Lock()
	b.process, b.ended, b.expected = process, ended, false
	b.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the box's process.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expected = b.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = b.process.Process.Signal(s) // It may have ended.
}

func (b *box) kill() {
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGKILL)
	<-b.ended
}

func (b *box) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := boottime.Now().Add(within); boottime.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + b.ready.String() + "/v1/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", b.name, within)
}

// unexpectedExit returns an error if a box's process ended by itself.
func (w *world) unexpectedExit() error {
	for _, b := range w.boxes {
		select {
		case <-b.ended:
			if !b.expected {
				return errors.New(b.name + " ended by itself")
			}
		default:
		}
	}
	return nil
}

// request is one attempt of a client.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
	header                            map[string]string
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   string
	// err says why no whole answer came.
	err error
}

// send sends a request on a channel of its own and records the answer.
func (w *world) send(b *box, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, r.method, "http://"+b.front.String()+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return answer{err: err}
	}
	call.Host = r.host
	call.Header.Set(headers.RequestID, r.id)
	call.Header.Set(headers.DeadlineMS, fmt.Sprint(r.deadline.Milliseconds()))
	if r.key != "" {
		call.Header.Set(headers.APIKey, r.key)
	}
	for name, value := range r.header {
		call.Header.Set(name, value)
	}
	w.log("client sends %s %s %s to %s, key %q %v", r.id, r.method, r.path, b.name, r.key, r.header)
	a := do(call)
	w.log("client gets for %s: status %d, %d bytes, error %v", r.id, a.status, len(a.body), a.err)
	return a
}

func do(call *http.Request) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(call)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

// boxLog returns the lines of a box's log that contain a text.
func (b *box) boxLog(text string) []string {
	data, _ := os.ReadFile(b.logPath)
	var list []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			list = append(list, strings.TrimSpace(line))
		}
	}
	return list
}
