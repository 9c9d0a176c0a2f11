package capacity

import (
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
)

// PathCosts are the costs of the request path, as measured by scripts/capacity with separate processes.
type PathCosts struct {
	// EntryRequest and AgentRequest are CPU time per request, EntryToken and AgentToken per streamed token,
	// all in microseconds.
	EntryRequest, AgentRequest float64
	EntryToken, AgentToken     float64
	// EntryWaiting is the memory of a waiting request at its entry, in bytes.
	EntryWaiting float64
}

// Measured holds all measurements that the tables of the page are made from.
type Measured struct {
	Path        PathCosts
	Choose      Slope   // ns to order candidate targets, by their number
	Decide      Slope   // ns to place and withdraw a ticket, by the number of waiting tickets
	Tickets     Slope   // bytes at an agent, by the number of waiting tickets
	Fates       Slope   // bytes at an agent, by the number of grants whose fate is kept
	IndexMemory Slope   // bytes of an indexed configuration, by targets
	IndexBytes  Slope   // bytes of a configuration as sent, by targets
	IndexTime   Slope   // ns to parse, check and index a configuration, by targets
	Change      float64 // bytes of the change of one target as sent
	Sessions    sessionCosts
}

// Measure measures all slopes. It takes about a minute.
func Measure(path PathCosts) (Measured, error) {
	sessions, err := measureSessions()
	if err != nil {
		return Measured{}, fmt.Errorf("measuring sessions: %w", err)
	}
	return Measured{
		Path: path, Sessions: sessions,
		Choose: chooseSlope(), Decide: decideSlope(), Tickets: ticketSlope(), Fates: fateSlope(),
		IndexMemory: indexMemorySlope(), IndexBytes: indexBytesSlope(), IndexTime: indexTimeSlope(), Change: changeBytes(),
	}, nil
}

const (
	beginMark = "<!-- measured: begin -->"
	endMark   = "<!-- measured: end -->"
)

// Rewrite replaces the text between the begin and end marks of the page at path by the tables of m.
func Rewrite(path string, m Measured) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the page: %w", err)
	}
	head, rest, found := strings.Cut(string(page), beginMark)
	if !found {
		return errors.NotFoundf("mark %q in %s", beginMark, path)
	}
	_, tail, found := strings.Cut(rest, endMark)
	if !found {
		return errors.NotFoundf("mark %q in %s", endMark, path)
	}
	text := head + beginMark + "\n\n" + m.tables(RequiredSize()) + "\n" + endMark + tail
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

// tables returns the measured part of the page as Markdown.
func (m Measured) tables(size DeploymentSize) string {
	return m.fleetTable(size) + "\n" + m.roleTables(size) + "\n" + m.slopeTable()
}

// slopes returns all slopes in the order of their table.
func (m Measured) slopes() []Slope {
	return []Slope{m.Choose, m.Decide, m.Tickets, m.Fates, m.IndexMemory, m.IndexBytes, m.IndexTime, m.Sessions.Tickets, m.Sessions.Memory}
}

// slopeTable lists the points and the fitted line of each slope.
func (m Measured) slopeTable() string {
	var b strings.Builder
	b.WriteString("## Slopes\n\nLeast squares through the points; R² says how straight they lie.\n\n")
	b.WriteString("| what | unit | points (size: cost) | base | each | R² |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range m.slopes() {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%.0f: %.0f", p.Size, p.Cost))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.1f | %.3f |\n", s.Name, s.Unit, strings.Join(points, ", "), s.Base, s.PerUnit, s.RSquared)
	}
	fmt.Fprintf(&b, "\nAn empty Notices call and its reply: %.0f bytes. A change of one target as sent: %.0f bytes.\n", m.Sessions.Notices, m.Change)
	return b.String()
}
