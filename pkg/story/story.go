// Package story puts together, from the logs of several processes, what became
// of one request. It does no I/O.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	// Prefix is what stands before the JSON, as a collector's time and name.
	Prefix string
	Fields map[string]any
	time   time.Time
	order  int
}

// Fields of all lines: the process that wrote it, and what it says.
const (
	FieldProcess = "process"
	FieldMessage = "msg"
)

const (
	fieldRequest = "request"
	fieldTargets = "targets"
	fieldTarget  = "target"
	fieldTime    = "time"
)

// Time is when the line was written; zero if it does not tell.
func (l *Line) Time() time.Time { return l.time }

// Text is a field's text; empty if it has none.
func (l *Line) Text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Number is a field's number, if it has one.
func (l *Line) Number(field string) (float64, bool) {
	n, ok := l.Fields[field].(float64)
	return n, ok
}

// Names lists the fields in order.
func (l *Line) Names() []string {
	return slices.Sorted(maps.Keys(l.Fields))
}

// maxLine bounds one log line.
const maxLine = 1 << 20

// Read reads log lines; what is no log line is passed over.
func Read(from io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		prefix, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte("{"+object), &fields) != nil || fields[FieldMessage] == nil {
			continue
		}
		line := Line{Prefix: strings.TrimSpace(prefix), Fields: fields, order: len(lines)}
		if text, ok := fields[fieldTime].(string); ok {
			// A line without a time keeps its place in its file.
			line.time, _ = time.Parse(time.RFC3339, text)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading log lines: %w", err)
	}
	return lines, nil
}

// around is how long before and after a request's own lines others may explain
// it.
const around = 5 * time.Second

// ForRequest returns the lines of a request and those that may explain it, in order:
// what its process came to believe around that time, and what any process wrote
// of the targets that it was sent to.
func ForRequest(request string, lines []Line) []Line {
	var own []Line
	targets := make(map[string]bool)
	processes := make(map[any]bool)
	for _, l := range lines {
		if l.Fields[fieldRequest] != request {
			continue
		}
		own = append(own, l)
		processes[l.Fields[FieldProcess]] = true
		for _, t := range list(l.Fields[fieldTargets]) {
			targets[t] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	chosen := own
	for _, l := range lines {
		if l.Fields[fieldRequest] == nil && near(l, own) && explains(l, targets, processes) {
			chosen = append(chosen, l)
		}
	}
	slices.SortStableFunc(chosen, func(a, b Line) int {
		if c := a.time.Compare(b.time); c != 0 {
			return c
		}
		return a.order - b.order
	})
	return chosen
}

func list(field any) []string {
	var texts []string
	values, _ := field.([]any)
	for _, v := range values {
		if text, ok := v.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

func near(l Line, own []Line) bool {
	for _, o := range own {
		if l.time.Sub(o.time).Abs() <= around {
			return true
		}
	}
	return false
}

func explains(l Line, targets map[string]bool, processes map[any]bool) bool {
	if target, ok := l.Fields[fieldTarget].(string); ok {
		return targets[target]
	}
	return processes[l.Fields[FieldProcess]]
}

// String writes a line for reading: time, process, message, then the fields.
func (l Line) String() string {
	var b strings.Builder
	if l.Prefix != "" {
		b.WriteString(l.Prefix + " ")
	}
	fmt.Fprintf(&b, "%s %v: %v", l.time.Format(time.TimeOnly), l.Fields[FieldProcess], l.Fields[FieldMessage])
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != fieldTime && name != FieldProcess && name != FieldMessage && name != "level" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "\n    %-18s %v", name, l.Fields[name])
	}
	return b.String()
}
