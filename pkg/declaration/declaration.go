// Package declaration defines what operators declare: tiers, client accounts,
// services, targets and placements, with the checks that a set of them must
// pass, and an index for look-ups.
package declaration

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Set is one complete configuration, as operators keep it in version control.
type Set struct {
	// Tiers are ordered, the highest first.
	Tiers      []Tier      `json:"tiers"`
	Accounts   []Account   `json:"accounts"`
	Services   []Service   `json:"services"`
	Targets    []Target    `json:"targets"`
	Placements []Placement `json:"placements"`
}

// Tier is one priority level of requests.
type Tier struct {
	Name ids.Tier `json:"name"`
	// DeadlineMS is the time within which an answer must be complete if the
	// caller sets no deadline, in milliseconds.
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Account is one client account.
type Account struct {
	Name ids.Account `json:"name"`
	// KeyHashes are the SHA-256 sums of the account's keys, in hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	// HighestTier is the highest tier that the account may request.
	HighestTier ids.Tier `json:"highest_tier"`
	// DefaultTier is the tier of a request that names none.
	DefaultTier ids.Tier `json:"default_tier"`
	// Weight is the account's share of service relative to other accounts whose requests wait in the same
	// tier; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// Concurrency limits the account's concurrent requests at one entry; 0 means no
	// limit.
	Concurrency int `json:"concurrency,omitempty"`
}

// ServiceKind determines how callers reach a service.
type ServiceKind string

// The kinds of service.
const (
	// ServiceModel: the OpenAI API, in which a call's body names the service as its model.
	ServiceModel ServiceKind = "model"
	// ServicePlain: any HTTP calls, whose path names the service and which are passed on with the rest of the path.
	ServicePlain ServiceKind = "plain"
)

// Service is what callers request by name.
type Service struct {
	Name ids.Service `json:"name"`
	Kind ServiceKind `json:"kind"`
}

// Target is one engine or plain service process.
type Target struct {
	Name ids.Target `json:"name"`
	// Address is the base URL at which the agent reaches the target.
	Address string `json:"address"`
	// AgentControl and AgentData are the agent's addresses for messages and for
	// streams, each an IP address and a port.
	AgentControl string `json:"agent_control"`
	AgentData    string `json:"agent_data"`
	// FailureDomain is the failure domain in which the target runs.
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	// HardwareGeneration is 1 for the oldest accelerators in use and higher for newer ones.
	HardwareGeneration int `json:"hardware_generation"`
	// ChecksFencing reports whether the target rejects an order with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// Slots is how many requests the target runs concurrently.
	Slots int `json:"slots"`
	// Resumes reports whether the target can resume a broken-off answer at an offset.
	Resumes bool `json:"resumes"`
}

// Placement assigns a service to a target.
type Placement struct {
	Service ids.Service `json:"service"`
	Target  ids.Target  `json:"target"`
	// Model, Adapter and Version describe what a model engine has loaded.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is "both", "prefill" or "decode"; empty means "both".
	Role string `json:"role,omitempty"`
}
