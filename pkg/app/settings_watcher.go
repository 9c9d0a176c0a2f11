package app

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/platform"
)

// watchInterval is the interval at which the settings file is read: it may change without a
// signal.
const watchInterval = 3 * clock.Second

// settingsWatcher applies the settings that may change while a process runs.
type settingsWatcher struct {
	common.Common
	path  string
	last  []byte // the document that was read at the start or applied last; nil if the first read failed
	apply func(platform.Settings)
}

// newSettingsWatcher returns a watcher that takes the present file as applied: it applies the next one that differs.
func newSettingsWatcher(c common.Common, path string, apply func(platform.Settings)) *settingsWatcher {
	w := &settingsWatcher{Common: c, path: path, apply: apply}
	if document, err := os.ReadFile(path); err == nil {
		w.last = document
	}
	return w
}

// run checks the file at each signal on now, and when there was none for watchInterval, until ctx ends.
func (w *settingsWatcher) run(ctx context.Context, now <-chan os.Signal) {
	for ctx.Err() == nil {
		wait, stop := context.WithTimeout(ctx, watchInterval.Duration())
		select {
		case <-now:
		case <-wait.Done():
		}
		stop()
		if err := w.reload(); err != nil {
			w.Log.WithError(err).Warn("settings not read; those in force stay")
		}
	}
}

// reload reads the file and applies the settings if it has changed. After an error nothing is applied, and the next
// call tries again.
func (w *settingsWatcher) reload() error {
	document, err := os.ReadFile(w.path)
	if err != nil {
		return fmt.Errorf("reading settings: %w", err)
	}
	if bytes.Equal(document, w.last) {
		return nil
	}
	s, err := platform.ParseSettings(document)
	if err != nil {
		return err
	}
	w.last = document
	w.Log.WithField("bounds", fmt.Sprintf("%+v", s.Bounds)).Info("settings changed")
	w.apply(s)
	return nil
}
