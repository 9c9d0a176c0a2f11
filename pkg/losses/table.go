package losses

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Table holds the number of losses for each time window and cause.
type Table struct {
	Start  time.Time     // a multiple of Window, as time.Time.Truncate has it
	Window time.Duration // the length of each window
	Causes []string      // the most frequent first
	// Counts is indexed by window, then by cause as in Causes.
	Counts [][]int
}

// maxWindows limits the number of windows of a table: logs whose clocks differ by that much can't usefully be shown in
// one table.
const maxWindows = 10_000

// Tabulate counts losses by time window and cause. It fails if they span more than 10,000 windows.
func Tabulate(list []Loss, window time.Duration) (*Table, error) {
	t := &Table{Window: window}
	if len(list) == 0 {
		return t, nil
	}
	var last time.Time
	for _, l := range list {
		if t.Start.IsZero() || l.At.Before(t.Start) {
			t.Start = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	t.Start = t.Start.Truncate(window)
	n := int(last.Sub(t.Start)/window) + 1
	if n > maxWindows {
		return nil, fmt.Errorf("the losses span %v, more than %d windows of %v", last.Sub(t.Start), maxWindows, window)
	}
	t.Causes = byFrequency(list, func(l Loss) string { return l.Cause })
	t.Counts = make([][]int, n)
	for i := range t.Counts {
		t.Counts[i] = make([]int, len(t.Causes))
	}
	for _, l := range list {
		t.Counts[int(l.At.Sub(t.Start)/window)][slices.Index(t.Causes, l.Cause)] += l.Count
	}
	return t, nil
}

// subtotal adds up the losses that share one value of a grouping.
type subtotal struct {
	// refusedBefore counts those whose caller had been refused before.
	count, refusedBefore int
	promptTokens         int64 // of those whose log line was not suppressed
}

// subtotals adds up losses by their key.
func subtotals(list []Loss, key func(Loss) string) map[string]*subtotal {
	found := make(map[string]*subtotal)
	for _, l := range list {
		s := found[key(l)]
		if s == nil {
			s = &subtotal{}
			found[key(l)] = s
		}
		s.count += l.Count
		s.promptTokens += int64(l.PromptTokens)
		if l.RefusedBefore {
			s.refusedBefore++
		}
	}
	return found
}

// byFrequency returns the distinct keys of losses, the most frequent first.
func byFrequency(list []Loss, key func(Loss) string) []string {
	found := subtotals(list, key)
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

// groupings are the properties by which Write adds losses up.
var groupings = []struct {
	title string
	key   func(Loss) string
}{
	{"cause", func(l Loss) string { return l.Cause }},
	{"tier", func(l Loss) string { return l.Tier }},
	{"account", func(l Loss) string { return l.Account }},
	{"entry", func(l Loss) string { return string(l.Entry) }},
	{"failure domain", func(l Loss) string { return string(l.Domain) }},
}

// Write writes the losses as text tables: the totals by cause, tier, account, entry and failure domain, then
// the counts by window and cause.
func Write(to io.Writer, list []Loss, table *Table) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	for _, g := range groupings {
		_, _ = fmt.Fprintf(w, "%s\trequests\tcame back\tprompt tokens\n", g.title) // Flush returns write errors
		found := subtotals(list, g.key)
		for _, name := range byFrequency(list, g.key) {
			s := found[name]
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", name, s.count, s.refusedBefore, s.promptTokens)
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "from\t%s\n", strings.Join(table.Causes, "\t"))
	for i, row := range table.Counts {
		at := table.Start.Add(time.Duration(i) * table.Window)
		_, _ = fmt.Fprintf(w, "%s\t%s\n", at.Format(time.TimeOnly), strings.Trim(strings.ReplaceAll(fmt.Sprint(row), " ", "\t"), "[]"))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the losses: %w", err)
	}
	return nil
}
