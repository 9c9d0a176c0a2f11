// Package capacity works out what each role needs at the users' size, from
// slopes that it measures, and writes the tables of docs/CAPACITY.md.
package capacity

// TargetSize is the size that the users have to carry in about two years.
// Source: their first letter.
type TargetSize struct {
	Nodes             int
	Engines           int
	RequestsPerSecond float64
	TokensPerSecond   float64
	Tiers             int
	Accounts          int
	Models            int
	ChangesPerDay     float64
	// The budget of one node for control.
	ControlCore  float64 // share of a core
	ControlBytes float64 // bytes a second
	ControlMB    float64
}

// Users is the size of the letter.
func Users() TargetSize {
	return TargetSize{
		Nodes: 350, Engines: 3600, RequestsPerSecond: 68_000, TokensPerSecond: 17e6,
		Tiers: 4, Accounts: 260, Models: 32, ChangesPerDay: 14_000,
		ControlCore: 0.019, ControlBytes: 2000, ControlMB: 256,
	}
}

const secondsPerDay = 86_400

// EntryRequests is the rate of requests at one entry.
func (t TargetSize) EntryRequests() float64 { return t.RequestsPerSecond / float64(t.Nodes) }

// AgentRequests is the rate of requests at one agent.
func (t TargetSize) AgentRequests() float64 { return t.RequestsPerSecond / float64(t.Engines) }

// EntryTokens is the rate of tokens through one entry.
func (t TargetSize) EntryTokens() float64 { return t.TokensPerSecond / float64(t.Nodes) }

// AgentTokens is the rate of tokens through one agent.
func (t TargetSize) AgentTokens() float64 { return t.TokensPerSecond / float64(t.Engines) }

// ChangesPerSecond is the mean rate of configuration changes.
func (t TargetSize) ChangesPerSecond() float64 { return t.ChangesPerDay / secondsPerDay }
