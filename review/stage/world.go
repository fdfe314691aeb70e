//go:build review

// Command stage plays one case of the review: it starts the project's own daemons as separate
// processes, with the project's stand-in of the table service and small stand-ins of replicas and
// callers, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could not run.
//
//	stage -case refused -program target/thymefront -record review/1/record.txt
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/standin"
)

// The ports of a daemon, each at an address of its own.
const (
	portCallers = 8005
	portReady   = 8002
	portMetrics = 7700
	portPeers   = 7715
)

// restartAfter is how long a killed process is away.
const restartAfter = 500 * time.Millisecond

var zones = []string{"quezon", "makati", "pasig"}

// world is the platform with its daemons and replicas.
type world struct {
	program, dir string
	store        *standin.Store
	began        time.Time
	replicas     []*replica
	daemons      []*daemon

	mu     sync.Mutex
	lines  []string
	runs   map[string][]string
	orders []order
	hosts  int
	// orderTrouble is set while one replica, the first that is ordered, leaves its orders unanswered
	// and carries them out late; victim is its ID.
	orderTrouble bool
	victim       string
}

// order is an order as it arrived at a replica.
type order struct {
	at              time.Time
	replica, holder string
	fence           uint64
	version         int64
	unanswered      bool
}

// daemon is one process of the project.
type daemon struct {
	world      *world
	name, zone string
	host       string
	settings   string
	log        *os.File

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	// expected is set once the process was told to end.
	expected bool
}

func newWorld(program, dir string) *world {
	return &world{program: program, dir: dir, store: standin.NewStore(), began: boottime.Now(), runs: make(map[string][]string)}
}

// host returns a loopback address that no other process of this run listens on.
func (w *world) host() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%250, 1+w.hosts/200, 1+w.hosts%200)
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f ", boottime.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// ran records that a replica ran a request.
func (w *world) ran(replica, request string) {
	w.note("replica %s ran %s", replica, request)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[request] = append(w.runs[request], replica)
}

func (w *world) orderArrived(replica, holder string, fence uint64, version int64, unanswered bool) {
	w.note("order at %s from %s: version %d, epoch %d, unanswered %v", replica, holder, version, fence, unanswered)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, order{boottime.Now(), replica, holder, fence, version, unanswered})
}

// leavesUnanswered reports whether a replica leaves its orders unanswered now.
func (w *world) leavesUnanswered(replica string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orderTrouble && w.victim == "" {
		w.victim = replica
	}
	return w.orderTrouble && w.victim == replica
}

// setOrderTrouble begins or ends the time in which a replica leaves its orders unanswered.
func (w *world) setOrderTrouble(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderTrouble, w.victim = on, ""
}

// ordersFor lists the orders to load a version.
func (w *world) ordersFor(version int64) []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []order
	for _, o := range w.orders {
		if o.version == version {
			list = append(list, o)
		}
	}
	return list
}

// settingsOf is what the template of the deploy file gives for a small deployment.
func settingsOf(d *daemon, store string) string {
	return fmt.Sprintf(`name: %q
domain: %q
region: "ncr"
callers: "%[3]s:%[4]d"
ready: "%[3]s:%[5]d"
metrics: "%[3]s:%[6]d"
peers: "%[3]s:%[7]d"
store:
  address: %[8]q
  reads_per_second: 2000
box:
  memory_mb: 284
  descriptors: 4100
  share: 0.4
  megabits: 1000.0
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
`, d.name, d.zone, d.host, portCallers, portReady, portMetrics, portPeers, store)
}

func (w *world) addDaemon(name, zone string) error {
	d := &daemon{world: w, name: name, zone: zone, host: w.host()}
	d.settings = filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(d.settings, []byte(settingsOf(d, w.store.Address().String())), 0o600); err != nil {
		return err
	}
	var err error
	if d.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return d.start()
}

func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := exec.Command(d.world.program, "-settings", d.settings)
	process.Stdout, process.Stderr = d.log, d.log
	// The process ends with this one, whatever ends it.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	d.process, d.done, d.expected = process, make(chan struct{}), false
	d.world.note("daemon %s started", d.name)
	go func(done chan struct{}) {
		err := process.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.expected {
			d.world.note("daemon %s ended by itself: %v", d.name, err)
		}
		close(done)
	}(d.done)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expected = d.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	d.world.note("%v to daemon %s", s, d.name)
	_ = d.process.Process.Signal(s) // It may have ended already.
}

// kill ends the process at once and starts another after a pause, as the platform does.
func (d *daemon) kill(pause time.Duration) error {
	d.signal(syscall.SIGKILL)
	<-d.done
	time.Sleep(pause)
	return d.start()
}

func (d *daemon) front() string { return fmt.Sprintf("%s:%d", d.host, portCallers) }

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", d.host, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (w *world) awaitReady(within time.Duration) error {
	until := boottime.Now().Add(within)
	for _, d := range w.daemons {
		for !d.ready() {
			if boottime.Now().After(until) {
				return fmt.Errorf("daemon %s is not ready after %v", d.name, within)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("all %d daemons are ready", len(w.daemons))
	return nil
}

// daemonNamed returns a daemon by its name.
func (w *world) daemonNamed(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// end ends all processes and writes the record.
func (w *world) end(record string) error {
	for _, d := range w.daemons {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		<-d.done
		_ = d.log.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sort.SliceStable(w.lines, func(i, j int) bool { return w.lines[i][:9] < w.lines[j][:9] })
	return os.WriteFile(record, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
}
