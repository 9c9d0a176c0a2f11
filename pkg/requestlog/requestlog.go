// Package requestlog assembles the timeline of one request from the logs of several processes. It opens no files:
// logs are read from an io.Reader.
package requestlog

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

// Line is one parsed log line.
type Line struct {
	// Prefix is the text before the JSON, such as the time and process name that a log collector adds.
	Prefix string
	Fields map[string]any
	time   time.Time // zero if the line has none, or one that can't be parsed
	index  int       // among the lines of one call of Read; orders those of equal time
}

// Fields that all lines have: the process that wrote the line, and its message.
const (
	FieldProcess = "process"
	FieldMessage = "msg"
)

const (
	fieldRequest = "request" // id of the request that the line is about
	fieldResumes = "resumes" // id of the request that brought the first event of the stream that this one takes up again
	fieldTargets = "targets" // list of the ids of the targets that the request was sent to
	fieldTarget  = "target"  // id of the one target that the line is about
	fieldTime    = "time"    // in RFC 3339
)

// Time returns when the line was written, or the zero time if the line has none that can be parsed.
func (l *Line) Time() time.Time { return l.time }

// Text returns a field's string value, or "" if there is none or it is no string.
func (l *Line) Text(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// Number returns a field's numeric value and whether there is one; a string of digits is none.
func (l *Line) Number(field string) (float64, bool) {
	n, ok := l.Fields[field].(float64)
	return n, ok
}

// Names returns the names of the fields, sorted.
func (l *Line) Names() []string {
	return slices.Sorted(maps.Keys(l.Fields))
}

// maxLine is the maximum length of a log line in bytes. Read fails on a longer one.
const maxLine = 1 << 20

// Read parses log lines and skips lines without a JSON object or a message.
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
		line := Line{Prefix: strings.TrimSpace(prefix), Fields: fields, index: len(lines)}
		if text, ok := fields[fieldTime].(string); ok {
			// A line whose time can't be parsed has the zero time. Lines with equal times stay in the order of the file.
			line.time, _ = time.Parse(time.RFC3339, text)
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading log lines: %w", err)
	}
	return lines, nil
}

// contextWindow is how far, in time, a line may be from a request's own lines to be included as context.
const contextWindow = 5 * time.Second

// ForRequest returns the log lines of a request, of the other tries of its stream, and those that may explain its
// outcome, sorted by time. The latter
// belong to no request and were written within 5 s of its own lines: by any process about a target that it was sent to,
// or by one of its own processes without naming a target. It returns nil if no line is the request's own.
func ForRequest(request string, lines []Line) []Line {
	var own []Line
	targets := make(map[string]bool)
	processes := make(map[any]bool)
	tries := triesOfStream(request, lines)
	for _, l := range lines {
		if !tries[l.Text(fieldRequest)] {
			continue
		}
		own = append(own, l)
		if t := l.Text(fieldTarget); t != "" {
			targets[t] = true
		}
		processes[l.Fields[FieldProcess]] = true
		for _, t := range textList(l.Fields[fieldTargets]) {
			targets[t] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	selected := own
	for _, l := range lines {
		if l.Fields[fieldRequest] == nil && withinWindow(l, own) && mayExplain(l, targets, processes) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		if c := a.time.Compare(b.time); c != 0 {
			return c
		}
		return a.index - b.index
	})
	return selected
}

// triesOfStream returns the ids of a request and, if it is one try of a stream that its caller took up again, of the
// others: the one that brought the first event, and those that name it.
func triesOfStream(request string, lines []Line) map[string]bool {
	first := request
	for _, l := range lines {
		if resumes := l.Text(fieldResumes); l.Text(fieldRequest) == request && resumes != "" {
			first = resumes
		}
	}
	tries := map[string]bool{request: true, first: true}
	for _, l := range lines {
		if l.Text(fieldResumes) == first {
			tries[l.Text(fieldRequest)] = true
		}
	}
	return tries
}

// textList returns the strings in a field that is a list, and nil for any other field.
func textList(field any) []string {
	var texts []string
	values, _ := field.([]any)
	for _, v := range values {
		if text, ok := v.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// withinWindow reports whether a line was written within contextWindow, before or after, of one of a request's own
// lines.
func withinWindow(l Line, own []Line) bool {
	for _, o := range own {
		if l.time.Sub(o.time).Abs() <= contextWindow {
			return true
		}
	}
	return false
}

// mayExplain reports whether a line may explain a request's outcome: one that names a target if the request was sent to
// that target, any other one if its process wrote lines of the request.
func mayExplain(l Line, targets map[string]bool, processes map[any]bool) bool {
	if target, ok := l.Fields[fieldTarget].(string); ok {
		return targets[target]
	}
	return processes[l.Fields[FieldProcess]]
}

// String formats a line for people: prefix, time, process and message, then each other field but the level on a line of
// its own.
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
