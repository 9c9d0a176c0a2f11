package losses

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Table counts losses by window of time and cause.
type Table struct {
	Began  time.Time
	Window time.Duration
	Causes []string // the most frequent first
	// Counts has a row for each window, and in it a number for each cause.
	Counts [][]int
}

// mostWindows bounds a table: lines whose clocks are far apart make no sense
// beside one another.
const mostWindows = 10_000

// Tabulate counts losses by window.
func Tabulate(list []Loss, window time.Duration) (*Table, error) {
	t := &Table{Window: window}
	if len(list) == 0 {
		return t, nil
	}
	var last time.Time
	for _, l := range list {
		if t.Began.IsZero() || l.At.Before(t.Began) {
			t.Began = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	t.Began = t.Began.Truncate(window)
	n := int(last.Sub(t.Began)/window) + 1
	if n > mostWindows {
		return nil, fmt.Errorf("the losses lie %v apart, which is more than %d windows of %v", last.Sub(t.Began), mostWindows, window)
	}
	t.Causes = frequent(list, func(l Loss) string { return l.Cause })
	t.Counts = make([][]int, n)
	for i := range t.Counts {
		t.Counts[i] = make([]int, len(t.Causes))
	}
	for _, l := range list {
		t.Counts[int(l.At.Sub(t.Began)/window)][slices.Index(t.Causes, l.Cause)] += l.Count
	}
	return t, nil
}

// sum is the losses of one kind.
type sum struct {
	count, back int
	prompt      int64
}

func sums(list []Loss, kind func(Loss) string) map[string]*sum {
	found := make(map[string]*sum)
	for _, l := range list {
		s := found[kind(l)]
		if s == nil {
			s = &sum{}
			found[kind(l)] = s
		}
		s.count += l.Count
		s.prompt += int64(l.Prompt)
		if l.CameBack {
			s.back++
		}
	}
	return found
}

// frequent lists the kinds of losses, the most frequent first.
func frequent(list []Loss, kind func(Loss) string) []string {
	found := sums(list, kind)
	var names []string
	for name := range found {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if c := found[b].count - found[a].count; c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return names
}

// views are the ways in which losses are added up.
var views = []struct {
	title string
	kind  func(Loss) string
}{
	{"cause", func(l Loss) string { return l.Cause }},
	{"tier", func(l Loss) string { return l.Tier }},
	{"account", func(l Loss) string { return l.Account }},
	{"entry", func(l Loss) string { return string(l.Entry) }},
	{"failure domain", func(l Loss) string { return string(l.Domain) }},
}

// Write writes the losses as text: added up by cause, tier, account, entry and
// failure domain, then by window and cause.
func Write(to io.Writer, list []Loss, table *Table) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, v := range views {
		_, _ = fmt.Fprintf(w, "%s\trequests\tcame back\tprompt tokens\n", v.title) // Flush tells of errors
		found := sums(list, v.kind)
		for _, name := range frequent(list, v.kind) {
			s := found[name]
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", name, s.count, s.back, s.prompt)
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "from\t%s\n", strings.Join(table.Causes, "\t"))
	for i, row := range table.Counts {
		at := table.Began.Add(time.Duration(i) * table.Window)
		_, _ = fmt.Fprintf(w, "%s\t%s\n", at.Format(time.TimeOnly), strings.Trim(strings.ReplaceAll(fmt.Sprint(row), " ", "\t"), "[]"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the losses: %w", err)
	}
	return nil
}
