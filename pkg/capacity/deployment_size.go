// Package capacity computes what each role needs at the required deployment size, extrapolating from costs that it
// measures at smaller sizes, and writes the tables of docs/CAPACITY.md.
package capacity

// DeploymentSize is the size of a deployment with its load, and the budget for control traffic and state.
type DeploymentSize struct {
	VMs               int // with an entry each
	Engines           int // with an agent each
	RequestsPerSecond float64
	TokensPerSecond   float64
	Tiers             int
	Accounts          int
	Models            int
	ChangesPerDay     float64
	// The budget of one VM for control, as opposed to the request path.
	ControlCore  float64 // fraction of a core
	ControlBytes float64 // bytes per second
	ControlMB    float64 // memory, in megabytes
}

// RequiredSize is the size that the users expect to reach in about two years.
func RequiredSize() DeploymentSize {
	return DeploymentSize{
		VMs: 350, Engines: 3600, RequestsPerSecond: 68_000, TokensPerSecond: 17e6,
		Tiers: 4, Accounts: 260, Models: 32, ChangesPerDay: 14_000,
		ControlCore: 0.019, ControlBytes: 2000, ControlMB: 256,
	}
}

const secondsPerDay = 86_400

// EntryRequests returns the mean number of requests per second at one entry.
func (s DeploymentSize) EntryRequests() float64 { return s.RequestsPerSecond / float64(s.VMs) }

// AgentRequests returns the mean number of requests per second at one agent.
func (s DeploymentSize) AgentRequests() float64 { return s.RequestsPerSecond / float64(s.Engines) }

// EntryTokens returns the mean number of tokens per second through one entry.
func (s DeploymentSize) EntryTokens() float64 { return s.TokensPerSecond / float64(s.VMs) }

// AgentTokens returns the mean number of tokens per second through one agent.
func (s DeploymentSize) AgentTokens() float64 { return s.TokensPerSecond / float64(s.Engines) }

// ChangesPerSecond returns the mean number of configuration changes per second.
func (s DeploymentSize) ChangesPerSecond() float64 { return s.ChangesPerDay / secondsPerDay }
