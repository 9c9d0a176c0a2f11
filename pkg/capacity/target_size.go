// Package capacity works out what each role needs at the users' size, from
// slopes that it measures, and writes the tables of docs/CAPACITY.md.
package capacity

// DeploymentSize is the size that the users have to carry in about two years.
// Source: their first letter.
type DeploymentSize struct {
	VMs               int
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

// RequiredSize is the size of the letter.
func RequiredSize() DeploymentSize {
	return DeploymentSize{
		VMs: 350, Engines: 3600, RequestsPerSecond: 68_000, TokensPerSecond: 17e6,
		Tiers: 4, Accounts: 260, Models: 32, ChangesPerDay: 14_000,
		ControlCore: 0.019, ControlBytes: 2000, ControlMB: 256,
	}
}

const secondsPerDay = 86_400

// EntryRequests is the rate of requests at one entry.
func (t DeploymentSize) EntryRequests() float64 { return t.RequestsPerSecond / float64(t.VMs) }

// AgentRequests is the rate of requests at one agent.
func (t DeploymentSize) AgentRequests() float64 { return t.RequestsPerSecond / float64(t.Engines) }

// EntryTokens is the rate of tokens through one entry.
func (t DeploymentSize) EntryTokens() float64 { return t.TokensPerSecond / float64(t.VMs) }

// AgentTokens is the rate of tokens through one agent.
func (t DeploymentSize) AgentTokens() float64 { return t.TokensPerSecond / float64(t.Engines) }

// ChangesPerSecond is the mean rate of configuration changes.
func (t DeploymentSize) ChangesPerSecond() float64 { return t.ChangesPerDay / secondsPerDay }
