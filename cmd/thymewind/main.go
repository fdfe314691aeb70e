// Command thymewind is the daemon of an entry box:
//
//	thymewind -settings entry-1.yaml
//	thymewind -settings entry-1.yaml -check
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/thymewind/thymewind"
	"github.com/thymewind/thymewind/finding"
	"github.com/thymewind/thymewind/machine"
	"github.com/thymewind/thymewind/settings"
)

func main() {
	file := flag.String("settings", "", "settings file, YAML")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	logger := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, Formatter: log.LogfmtFormatter})
	data, err := os.ReadFile(*file)
	if err != nil {
		logger.Fatal("can't read the settings", "err", err)
	}
	s, err := settings.Parse(*file, data)
	if err != nil {
		for _, found := range finding.Each(err) {
			logger.Error("setting", "finding", trace.UserMessage(found))
		}
		logger.Fatal("the settings are not good", "findings", len(finding.Each(err)))
	}
	if *check {
		return
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		logger.Fatal("the settings are not good", "err", err)
	}
	logger.SetLevel(level)
	limitMemory(&s)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d := thymewind.Daemon{Settings: s, Log: logger.With("box", s.Name), Registry: registry}
	if err := d.Run(ctx); err != nil {
		logger.Fatal("stopped with an error", "err", err)
	}
}

// memoryShare is the Go runtime's memory limit as a share of the box's memory. Near it the runtime
// collects garbage more often.
const memoryShare = 0.6

// limitMemory takes what the settings leave open of the box from the machine, and bounds the runtime's
// memory.
func limitMemory(s *settings.Settings) {
	memory, descriptors := machine.Limits()
	if s.Box.MemoryMB == 0 {
		s.Box.MemoryMB = int(memory >> 20)
	}
	if s.Box.Descriptors == 0 {
		s.Box.Descriptors = descriptors
	}
	if s.Box.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Box.MemoryMB<<20)))
	}
}
