package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"quaydock/pkg/requestlog"
)

// explain prints the timeline of one request from the logs of several processes.
func explain(_ context.Context, args []string, out, _ io.Writer) error {
	const minArgs = 2
	if len(args) < minArgs {
		return fmt.Errorf("%w: explain takes a request's id and log files", errUsage)
	}
	lines, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	timeline := requestlog.ForRequest(args[0], lines)
	if len(timeline) == 0 {
		return fmt.Errorf("no line of request %s: it was answered in time and not sampled, or the log of its entry is missing", args[0])
	}
	for _, l := range timeline {
		report(out, l)
	}
	return nil
}

// readLogs reads the log files in the given order.
func readLogs(paths []string) ([]requestlog.Line, error) {
	var lines []requestlog.Line
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(path string) ([]requestlog.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the log: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines, err := requestlog.Read(file)
	if err != nil {
		return nil, fmt.Errorf("reading log %s: %w", path, err)
	}
	return lines, nil
}
