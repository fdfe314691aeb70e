package hostile_test

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thymewind/thymewind/internal/hostile"
)

// The crowd and the box that it meets. The crowd sends more than the box's memory, over more
// connections than the box has descriptors.
const (
	crowdClients   = 400
	bodyLimit      = 256 << 10
	boxMemoryMB    = 64
	boxDescriptors = 256
)

const (
	// readyTries and readyPause bound the wait for a process that starts.
	readyTries = 600
	readyPause = 50 * time.Millisecond
	// samplePause is the pause between two looks at a process.
	samplePause = 10 * time.Millisecond
	// settleTime is how long a process is looked at after the crowd has sent everything.
	settleTime = time.Second
	// ordinaryTries bounds the tries of an ordinary client, which keeps to Retry-After; tryTimeout
	// ends a try without an answer.
	ordinaryTries = 30
	tryTimeout    = 5 * time.Second
)

// program is a process under test and what clients send it.
type program struct {
	process *exec.Cmd
	log     string
	// exited is closed when the process has ended.
	exited chan struct{}
	// listeners are the addresses on which it accepts connections.
	listeners []netip.AddrPort
}

// build compiles a program of this module.
func build(t *testing.T, name string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if out, err := exec.Command("go", "build", "-o", path, "github.com/thymewind/thymewind/cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// start runs a program until the test ends.
func start(t *testing.T, listeners []netip.AddrPort, path string, args ...string) *program {
	t.Helper()
	p := &program{process: exec.Command(path, args...), log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{}), listeners: listeners}
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.process.Stdout, p.process.Stderr = output, output
	if err := p.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.process.Wait() // How it ended is in its log.
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.process.Process.Kill()
		<-p.exited
		_ = output.Close()
		if text, err := os.ReadFile(p.log); err == nil && t.Failed() {
			t.Logf("last lines of %s:\n%s", filepath.Base(path), text[max(0, len(text)-3000):])
		}
	})
	return p
}

// isAlive reports whether the process has not ended.
func (p *program) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// usage is the most that a process held.
type usage struct {
	residentBytes, kernelBytes, togetherBytes, descriptors int
}

// watch samples what the process holds until the function returned is called.
func (p *program) watch() (end func() usage) {
	ctx, cancel := context.WithCancel(context.Background())
	var most usage
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			resident, kernel := p.residentBytes(), p.kernelBytes()
			most.residentBytes, most.kernelBytes = max(most.residentBytes, resident), max(most.kernelBytes, kernel)
			most.togetherBytes = max(most.togetherBytes, resident+kernel)
			most.descriptors = max(most.descriptors, p.descriptors())
			pause(samplePause)
		}
	}()
	return func() usage {
		cancel()
		<-done
		return most
	}
}

// residentBytes is the process's resident memory, zero once it has ended.
func (p *program) residentBytes() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kilobytes << 10
		}
	}
	return 0
}

// descriptors counts the process's open files and sockets.
func (p *program) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.process.Process.Pid))
	return len(entries)
}

// kernelBytes is what the kernel holds on the connections that the process accepts: unread and unsent.
func (p *program) kernelBytes() int {
	table, _ := os.ReadFile("/proc/net/tcp")
	own := make(map[string]bool)
	for _, at := range p.listeners {
		own[kernelAddress(at)] = true
	}
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !own[fields[1]] || fields[3] == "0A" { // 0A is a listener.
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{unsent, unread} {
			n, _ := strconv.ParseInt(text, 16, 64)
			total += int(n)
		}
	}
	return total
}

// kernelAddress is an IPv4 address as /proc/net/tcp has it.
func kernelAddress(at netip.AddrPort) string {
	ip := at.Addr().As4()
	slices.Reverse(ip[:])
	return strings.ToUpper(hex.EncodeToString(ip[:])) + fmt.Sprintf(":%04X", at.Port())
}

// target is one kind of request to one listener, as the crowd sends it.
type target struct {
	name string
	at   netip.AddrPort
	head func(client int) string
	// prefix and suffix are the ends of its bodies.
	prefix, suffix string
}

// withstand has a crowd send a kind of body to a running program, and checks that the program lives,
// stays within its bounds and answers an ordinary request while the crowd's connections stay open.
func withstand(t *testing.T, p *program, to target, body hostile.Body, ordinary func() *http.Request) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	idle := p.residentBytes()
	end := p.watch()
	dialer := net.Dialer{Timeout: tryTimeout}
	crowd := &hostile.Crowd{
		Dial:    func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", to.at.String()) },
		Clients: crowdClients, Limit: bodyLimit, Head: to.head, Prefix: to.prefix, Suffix: to.suffix,
	}
	defer crowd.Close()
	crowd.Send(ctx, body)
	pause(settleTime)
	answered := ask(t, ordinary)
	most := end()
	t.Logf("resident %d KB idle, %d KB the most; kernel %d KB; together %d KB; %d descriptors", idle>>10, most.residentBytes>>10, most.kernelBytes>>10, most.togetherBytes>>10, most.descriptors)
	if !p.isAlive() {
		t.Fatal("the process ended")
	}
	if most.togetherBytes > boxMemoryMB<<20 {
		t.Errorf("the process and the kernel held %d KB, of %d KB", most.togetherBytes>>10, boxMemoryMB<<10)
	}
	if most.descriptors > boxDescriptors {
		t.Errorf("%d descriptors were open, of %d", most.descriptors, boxDescriptors)
	}
	if !answered {
		t.Error("no ordinary request was answered")
	}
}

// ask sends an ordinary request, again where the server turns it away or closes the connection, and
// reports whether it was answered.
func ask(t *testing.T, ordinary func() *http.Request) bool {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: tryTimeout}
	for try := range ordinaryTries {
		response, err := client.Do(ordinary())
		if err != nil {
			t.Logf("try %d: %v", try, err)
			pause(readyPause)
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && isSuccess(response) {
			return true
		}
		t.Logf("try %d: %d %s, %v", try, response.StatusCode, text, err)
		wait, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			wait = readyPause.Seconds()
		}
		pause(time.Duration(wait * float64(time.Second)))
	}
	return false
}

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range readyTries {
		if holds() {
			return
		}
		pause(readyPause)
	}
	t.Fatalf("not in time: %s", what)
}

// isSuccess reports whether an answer has a status of success.
func isSuccess(response *http.Response) bool { return response.StatusCode/100 == 2 }

// isOK reports whether a request is answered with success.
func isOK(request *http.Request) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: tryTimeout}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return isSuccess(response)
}

func pause(length time.Duration) { <-time.After(length) }

// addressCount counts the addresses handed out.
var addressCount atomic.Uint32

// freeAddress returns a loopback address on which nothing listens, with an IP address of its own.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	n := addressCount.Add(1)
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(128 | n>>8), byte(n)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// request builds a request of an ordinary client.
func request(t *testing.T, method, url, body string, header http.Header) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header = header.Clone()
	return r
}
