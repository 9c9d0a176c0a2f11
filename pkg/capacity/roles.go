package capacity

import (
	"fmt"
	"strings"
)

const (
	kilobyte            = 1000.0
	megabyte            = 1e6
	noticeWaitSeconds   = 30.0   // entry.noticeWait
	pollIntervalSeconds = 2.0    // settings platform.poll_ms
	maxTableReads       = 2000.0 // reads of the platform's table per second, for all uses
	// headerBytes are the TCP and IP headers of a message and of its reply, one packet each. Acknowledgements are
	// sent with them.
	headerBytes       = 2 * 40
	percent           = 100  // a fraction times this is a percentage
	nanosecond        = 1e-9 // in seconds, as is microsecond
	microsecond       = 1e-6
	ticketsPerRequest = 2 // settings entry.tickets_per_request
)

// idleSession returns the traffic of a session without waiting tickets, in bytes per second: one empty Notices call
// after another, each of which the agent holds for noticeWaitSeconds.
func (m Measured) idleSession() float64 {
	return (m.Sessions.Notices + headerBytes) / noticeWaitSeconds
}

// fleetTable lists the costs of a single VM that grow with the size of the whole deployment.
func (m Measured) fleetTable(t DeploymentSize) string {
	engines := float64(t.Engines)
	processes := engines + float64(t.VMs)
	perSession := m.Sessions.Memory.PerUnit / 2 // the slope is that of both sides
	reads := processes * (1/pollIntervalSeconds + t.ChangesPerSecond())
	var b strings.Builder
	b.WriteString("## What grows with the whole fleet in a single node\n\n")
	b.WriteString("| what | at the users' size | budget | breaks at | what replaces it |\n| --- | --- | --- | --- | --- |\n")
	row := func(format string, args ...any) { fmt.Fprintf(&b, format, args...) }
	row("| sessions of an entry with every agent, idle traffic | %.1f KB/s for %d | %.0f KB/s | %.0f targets | each entry keeps sessions with a subset: a few targets of each model, by rendezvous hashing over failure domains |\n",
		engines*m.idleSession()/kilobyte, t.Engines, t.ControlBytes/kilobyte, t.ControlBytes/m.idleSession())
	row("| the same, memory | %.0f MB | %.0f MB | %.0f targets | the same |\n",
		engines*perSession/megabyte, t.ControlMB, t.ControlMB*megabyte/perSession)
	row("| sessions of an agent with every entry, memory | %.1f MB for %d | %.0f MB | not within the size | the same subsets: an agent then sees about a tenth of the entries |\n",
		float64(t.VMs)*perSession/megabyte, t.VMs, t.ControlMB)
	row("| each change goes to each process (a row a change) | %.2f KB/s | %.0f KB/s | not with the fleet: at %.0f changes a day | none needed |\n",
		m.Change*t.ChangesPerSecond()/kilobyte, t.ControlBytes/kilobyte, t.ControlBytes/m.Change*secondsPerDay)
	row("| polls of the head by each process | %.2f KB/s | %.0f KB/s | not with the fleet | push along the sessions |\n",
		(m.Sessions.Poll+headerBytes)/pollIntervalSeconds/kilobyte, t.ControlBytes/kilobyte)
	row("| the snapshot that a new process reads | %.1f MB | | | a process holds what it serves |\n", m.IndexBytes.At(engines)/megabyte)
	row("| reading a change | %.2f %% of a core | %.1f %% | %.0f targets | the same |\n",
		m.IndexTime.At(engines)*nanosecond*t.ChangesPerSecond()*percent, t.ControlCore*percent, t.ControlCore/(m.IndexTime.PerUnit*nanosecond*t.ChangesPerSecond()))
	row("| every process polls the table | %.0f reads/s | about %.0f for all uses | %.0f processes | one poller for each failure domain, the rest by push |\n",
		reads, maxTableReads, maxTableReads/(1/pollIntervalSeconds+t.ChangesPerSecond()))
	row("| the configuration itself, memory | %.1f MB | %.0f MB | not within the size | none needed |\n",
		m.IndexMemory.At(engines)/megabyte, t.ControlMB)
	perModel := engines / float64(t.Models)
	row("| ordering the targets of a service for one request | %.0f µs for %.0f, %.0f µs for all %d | | | only a sample is drawn from the subset |\n",
		m.Choose.At(perModel)*nanosecond/microsecond, perModel, m.Choose.At(engines)*nanosecond/microsecond, t.Engines)
	return b.String()
}

// roleTables returns the tables of messages, CPU time and memory of each role.
func (m Measured) roleTables(t DeploymentSize) string {
	return m.entryTable(t) + "\n" + m.agentTable(t) + "\n" + m.platformTable(t)
}

// roleHead is the head of each role's table.
const roleHead = "| what | figure | mechanism |\n| --- | --- | --- |\n"

// entryTable lists what one entry needs for its share of the load.
func (m Measured) entryTable(t DeploymentSize) string {
	requests, tokens := t.EntryRequests(), t.EntryTokens()
	ticketBytes := m.Sessions.Tickets.PerUnit * ticketsPerRequest
	var b strings.Builder
	fmt.Fprintf(&b, "## An entry: %.0f requests/s, %.0f tokens/s\n\n%s", requests, tokens, roleHead)
	row := func(what, mechanism, format string, args ...any) {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", what, fmt.Sprintf(format, args...), mechanism)
	}
	row("processor, requests", "admission, tickets, one exchange a request", "%.1f %% of a core (%.0f µs each)", requests*m.Path.EntryRequest*microsecond*percent, m.Path.EntryRequest)
	row("processor, tokens", "relay of whole events", "%.1f %% of a core (%.1f µs each)", tokens*m.Path.EntryToken*microsecond*percent, m.Path.EntryToken)
	row("messages, tickets", "batched Place calls; part of the request path, not of the control budget", "%.1f KB/s (%.0f bytes a request with %d tickets)", requests*ticketBytes/kilobyte, ticketBytes, ticketsPerRequest)
	row("memory, waiting requests", "one goroutine and one connection each", "%.0f KB each; 256 MB hold %.0f", m.Path.EntryWaiting/kilobyte, t.ControlMB*megabyte/max(m.Path.EntryWaiting, 1))
	row("memory, sessions", "one net/rpc connection a target", "%.1f KB each", m.Sessions.Memory.PerUnit/2/kilobyte)
	return b.String()
}

// agentTable lists what one agent needs for its share of the load.
func (m Measured) agentTable(t DeploymentSize) string {
	const fateRetentionSeconds = 30 // settings agents.remember_ms
	requests, tokens := t.AgentRequests(), t.AgentTokens()
	var b strings.Builder
	fmt.Fprintf(&b, "## An agent: %.0f requests/s, %.0f tokens/s\n\n%s", requests, tokens, roleHead)
	row := func(what, mechanism, format string, args ...any) {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", what, fmt.Sprintf(format, args...), mechanism)
	}
	row("processor, requests", "gate, one exchange with the target", "%.2f %% of a core (%.0f µs each)", requests*m.Path.AgentRequest*microsecond*percent, m.Path.AgentRequest)
	row("processor, tokens", "bounded answer log", "%.1f %% of a core (%.1f µs each)", tokens*m.Path.AgentToken*microsecond*percent, m.Path.AgentToken)
	row("decision on a ticket", "heaps by tier, account, deadline", "%.1f µs with 1,000 waiting", m.Decide.At(1000)*nanosecond/microsecond)
	row("memory, tickets", "no goroutine a ticket", "%.0f bytes each", m.Tickets.PerUnit)
	row("memory, fates of grants", "kept for 30 s", "%.2f MB (%.0f bytes each)", requests*fateRetentionSeconds*m.Fates.PerUnit/megabyte, m.Fates.PerUnit)
	row("memory, answers kept for a resume", "bounded by bytes", "16 MB at most, and 256 KB for each answer under way")
	return b.String()
}

// platformTable lists the reads and writes that the platform's table gets from all processes.
func (m Measured) platformTable(t DeploymentSize) string {
	processes := float64(t.Engines + t.VMs)
	var b strings.Builder
	b.WriteString("## The platform's table\n\n" + roleHead)
	fmt.Fprintf(&b, "| reads | %.0f/s for polls, %.0f/s for changes | every process polls the head every 2 s |\n", processes/pollIntervalSeconds, processes*t.ChangesPerSecond())
	fmt.Fprintf(&b, "| writes | %.2f/s for changes | one transaction a change, conditional on the head |\n", t.ChangesPerSecond())
	return b.String()
}
