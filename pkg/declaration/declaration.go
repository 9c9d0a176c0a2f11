// Package declaration has what operators declare: tiers, client accounts,
// services, targets and placements, with the checks that a set of them must
// pass, and the index that processes look things up in.
package declaration

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Set is one whole configuration, as operators keep it in version control.
type Set struct {
	// Tiers are in order, the highest first.
	Tiers      []Tier      `json:"tiers"`
	Accounts   []Account   `json:"accounts"`
	Services   []Service   `json:"services"`
	Targets    []Target    `json:"targets"`
	Placements []Placement `json:"placements"`
}

// Tier is one rank of requests.
type Tier struct {
	Name ids.Tier `json:"name"`
	// DeadlineMS is the time in which an answer must be complete when the
	// caller names no deadline, in milliseconds.
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Account is one client account.
type Account struct {
	Name ids.Account `json:"name"`
	// KeyHashes are the SHA-256 sums of the account's keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// HighestTier is the highest tier that the account may ask for.
	HighestTier ids.Tier `json:"highest_tier"`
	// DefaultTier is the tier of a request that names none.
	DefaultTier ids.Tier `json:"default_tier"`
	// Weight is the account's share against others of the same tier; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Concurrency bounds the account's requests at one entry; 0 means no bound.
	Concurrency int `json:"concurrency,omitempty"`
}

// ServiceKind says how callers reach a service.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is what callers ask for by name.
type Service struct {
	Name ids.Service `json:"name"`
	Kind ServiceKind `json:"kind"`
}

// Target is one engine or plain service process.
type Target struct {
	Name ids.Target `json:"name"`
	// Address is the base URL of the target, as its agent reaches it.
	Address string `json:"address"`
	// AgentControl and AgentData are the agent's addresses, IP and port.
	AgentControl string `json:"agent_control"`
	AgentData    string `json:"agent_data"`
	// FailureDomain is the part of the deployment that the target fails with.
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	// HardwareGeneration is 1 for the oldest accelerators in use.
	HardwareGeneration int `json:"hardware_generation"`
	// ChecksFencing says that the target refuses an order with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// Resumes says that the target can resume a broken answer by offset.
	Resumes bool `json:"resumes"`
}

// Placement says what a target serves.
type Placement struct {
	Service ids.Service `json:"service"`
	Target  ids.Target  `json:"target"`
	// Model, Adapter and Version say what a model engine has loaded.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is "both", "prefill" or "decode"; empty means "both".
	Role string `json:"role,omitempty"`
}
