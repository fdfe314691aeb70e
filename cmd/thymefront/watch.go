package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thymewind/thymewind/entry/settings"
)

// settingsPollInterval is how often the settings file is compared with its last contents,
// as it may change without a signal.
const settingsPollInterval = 2 * time.Second

// watch reads the settings file again on SIGHUP and when it has changed, and sends the
// settings. A file with errors is logged, and the previous settings stay.
func watch(ctx context.Context, file string, logger *log.Logger) <-chan settings.Settings {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	changed := make(chan settings.Settings)
	last, err := os.ReadFile(file)
	if err != nil {
		logger.Warn("settings file could not be read; the next successful read counts as a change", "err", err)
	}
	go func() {
		ticks := time.NewTicker(settingsPollInterval)
		defer ticks.Stop()
		for {
			signalled := false
			select {
			case <-ctx.Done():
				return
			case <-hup:
				signalled = true
			case <-ticks.C:
			}
			data, err := os.ReadFile(file)
			if err != nil || (bytes.Equal(data, last) && !signalled) {
				continue
			}
			last = data
			s, err := settings.Parse(file, data)
			if err != nil {
				logger.Error("changed settings are invalid; keeping the previous ones", "err", err)
				continue
			}
			select {
			case changed <- s:
			case <-ctx.Done():
			}
		}
	}()
	return changed
}
