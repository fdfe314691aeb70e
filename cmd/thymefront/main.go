// Command thymefront is the daemon of an entry box on the users' platform:
//
//	thymefront -settings settings.yaml
//	thymefront -settings settings.yaml -check
package main

import (
	"context"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/thymewind/thymewind/entry"
	"github.com/thymewind/thymewind/entry/settings"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/finding"
	"github.com/thymewind/thymewind/logqueue"
	"github.com/thymewind/thymewind/platform"
	"github.com/thymewind/thymewind/platform/store"
	"github.com/thymewind/thymewind/readlimit"
	"github.com/thymewind/thymewind/strict"
)

// Limits of connections, the log and memory.
const (
	// dialTimeout bounds a dial. A round trip takes 2 ms, and a lost SYN is
	// retransmitted only after a second.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to a target is kept.
	idleTimeout = 20 * time.Second
	// silentAfter is how long a call on a reused connection to a target must have waited
	// without an answer for the connection to count as silent when the call is given up.
	// A long poll of a source is given up after 0.8 s; requests usually get the head of
	// their answer sooner.
	silentAfter = 700 * time.Millisecond
	// storeTimeout bounds a call to the table service, which usually answers in 4 ms,
	// and in 250 ms when it is slow. It is also the adaptive timeout's value until the
	// first answers have arrived.
	storeTimeout = 1500 * time.Millisecond
	// minStoreTimeout is the least wait before a connection to the table service counts
	// as silent: twice a slow answer. With the hold of a long poll, a proof of the
	// configuration is then at most 3.5 s old, which is within the 4.3 s for which keys
	// are trusted. With storeTimeout alone it would be up to 4.5 s old.
	minStoreTimeout = 500 * time.Millisecond
	// logQueueLines bounds the log lines waiting to be written; further ones are
	// dropped.
	logQueueLines = 2048
	// memoryShare is the Go runtime's memory limit as a share of the box's memory. Near
	// it the runtime collects garbage more often.
	memoryShare = 0.6
	// receiveShare is the share of the box's memory for receive buffers beyond the least that each
	// exchange has. With 500 slow callers all together was 111 to 115 of 128 MB, and 104 with half of
	// this share.
	receiveShare = 1.0 / 16
	// readShare is the share of the box's memory for answers that are being read whole and for long
	// heads, those of targets and those of the table service each.
	readShare = 1.0 / 16
)

func main() {
	file := flag.String("settings", "", "settings file, YAML")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	queue := &logqueue.Queue{Output: os.Stdout, Capacity: logQueueLines}
	go queue.Run()
	defer queue.Close()
	if err := serve(queue, *file, *check); err != nil {
		queue.Close()
		os.Exit(1)
	}
}

// serve runs the daemon, or only checks the settings, and logs the error that ended it.
func serve(out io.Writer, file string, check bool) error {
	logger := log.NewWithOptions(out, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	s, err := readSettings(file)
	if err != nil {
		logFindings(logger, err)
		return err
	}
	if check {
		return nil
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return trace.Wrap(err)
	}
	logger.SetLevel(level)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Box.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reload := watch(ctx, file, logger)
	err = run(ctx, s, logger.With("box", s.Name), reload)
	if err != nil {
		logger.Error("stopped with an error", "err", err)
	}
	return err
}

func readSettings(file string) (settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, trace.ConvertSystemError(err)
	}
	s, err := settings.Parse(file, data)
	platform.ApplyContracts(&s)
	return s, err
}

// logFindings logs every finding in the settings.
func logFindings(logger *log.Logger, err error) {
	all := finding.Each(err)
	for _, found := range all {
		logger.Error("setting", "finding", trace.UserMessage(found))
	}
	logger.Error("the settings are not good", "findings", len(all))
}

func run(ctx context.Context, s settings.Settings, logger *log.Logger, reload <-chan settings.Settings) error {
	connections := &exchange.Client{Dial: (&net.Dialer{}).DialContext, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, SilentAfter: silentAfter}
	connections.MaxHead, connections.MaxBody, connections.MaxWhole = s.Reads.HeadBytes, s.Reads.AnswerBytes, s.Reads.CallBytes
	connections.ReadBudget.Bytes = readBudget(s)
	if s.Overload.HeldBytes {
		connections.Dial = (&net.Dialer{Control: exchange.LimitBuffers}).DialContext
		connections.ReceiveBudget = int64(receiveShare * float64(s.Box.MemoryMB<<20))
	}
	rows := &store.Store{
		Base: "http://" + s.Store.Address.String(), MinTimeout: minStoreTimeout, Timeout: storeTimeout,
		HTTP: &http.Client{Transport: strict.New(&http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true,
			MaxResponseHeaderBytes: s.Reads.HeadBytes,
		})},
		MaxBody: s.Reads.CallBytes, ReadBudget: readlimit.Budget{Bytes: readBudget(s)},
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	d := entry.Daemon{
		Settings: s, Platform: platform.New(rows, connections), Front: platform.Ingress, Log: logger, Registry: registry,
		Reload: reload,
		Sweep:  connections.Sweep,
	}
	rows.OnSilent = func(call string, waited time.Duration) { d.ReportSilence(entry.ToTableService, call, waited) }
	rows.OnOverlong = func(bytes int64) {
		d.ReportOverlong(entry.ToTableService, s.Store.Address.String(), exchange.PartBody, bytes)
	}
	connections.OnSilent = d.ReportSilentTarget
	connections.OnOverlong = func(at netip.AddrPort, part string, bytes int64) {
		d.ReportOverlong(entry.ToTarget, at.String(), part, bytes)
	}
	return d.Run(ctx)
}

// readBudget is the budget for answers that are being read, in bytes.
func readBudget(s settings.Settings) int64 { return int64(readShare * float64(s.Box.MemoryMB<<20)) }
