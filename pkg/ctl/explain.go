package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"quaydock/pkg/story"
)

// explain prints what the logs of several processes say of one request.
func explain(_ context.Context, args []string, out, _ io.Writer) error {
	const least = 2
	if len(args) < least {
		return fmt.Errorf("%w: explain takes a request's id and log files", errUsage)
	}
	lines, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	told := story.ForRequest(args[0], lines)
	if len(told) == 0 {
		return fmt.Errorf("no line of request %s: it was answered in time and is not in the sample, or another process had it", args[0])
	}
	for _, l := range told {
		report(out, l)
	}
	return nil
}

// readLogs reads log files one after the other.
func readLogs(paths []string) ([]story.Line, error) {
	var lines []story.Line
	for _, path := range paths {
		read, err := readLog(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLog(path string) ([]story.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	defer func() { _ = file.Close() }() // it was only read
	lines, err := story.Read(file)
	if err != nil {
		return nil, fmt.Errorf("log %s: %w", path, err)
	}
	return lines, nil
}
