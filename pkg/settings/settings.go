// Package settings defines the settings of a process, with their defaults, loading
// and checks. docs/operating/SETTINGS.md documents each field;
// examples/settings.schema.json is generated from the struct.
package settings

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Settings holds all settings of one process.
type Settings struct {
	// Process names this process in logs and traces.
	Process ids.Process `json:"process"`
	// FailureDomain is the failure domain in which this process runs.
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	Log           Log               `json:"log"`
	Trace         Trace             `json:"trace"`
	Operators     Operators         `json:"operators"`
	Platform      Platform          `json:"platform"`
	// HeapReserveMB is how many megabytes of garbage may accumulate before the
	// collector runs, in addition to as much as the live heap.
	HeapReserveMB int `json:"heap_reserve_mb"`
	// Seed makes the random choices of a test run repeatable; 0 chooses a random
	// seed.
	Seed uint64 `json:"seed,omitempty"`
	// StrictInvariants stops the process when an invariant is violated.
	StrictInvariants bool `json:"strict_invariants"`
	// Entry is set on an entry VM.
	Entry *Entry `json:"entry,omitempty"`
	// Agents has one element on a target VM. It has more only in tests with several
	// targets on one VM.
	Agents []Agent `json:"agents,omitempty"`
	// StandIns run inside the process for tests without outside systems.
	StandIns *StandIns `json:"stand_ins,omitempty"`
}

// Log has the settings of the log.
type Log struct {
	// Level is a logrus level: "debug", "info", "warning" or "error". Lines below it are not logged.
	Level string `json:"level"`
}

// Trace determines where spans are sent.
type Trace struct {
	// Exporter is "none", "file" or "otlp".
	Exporter string `json:"exporter"`
	// File is the path for "file".
	File string `json:"file,omitempty"`
	// Endpoint is the base URL for "otlp".
	Endpoint string `json:"endpoint,omitempty"`
	// Ratio is the fraction of requests that are traced, from 0 to 1. An entry draws it for each request, and
	// agents follow its choice.
	Ratio float64 `json:"ratio"`
}

// Operators has the settings of the operators' port, which serves health, metrics
// and state.
type Operators struct {
	// Listen is the address of the port.
	Listen string `json:"listen"`
}

// Platform has the settings of the connection to the platform.
type Platform struct {
	// Table is the base URL of the transactional table.
	Table string `json:"table"`
	// PollMS is the time between polls of the newest revision, in milliseconds.
	PollMS clock.Millis `json:"poll_ms"`
	// TimeoutMS limits one call, in milliseconds.
	TimeoutMS clock.Millis `json:"timeout_ms"`
}

// Entry has the settings of an entry.
type Entry struct {
	// Listen is the address of the port for callers.
	Listen string      `json:"listen"`
	Limits EntryLimits `json:"limits"`
	// TicketsPerRequest is how many agents are sent a ticket at the same time.
	TicketsPerRequest int `json:"tickets_per_request"`
	// Policy determines how targets are chosen: "late-binding", or a baseline for
	// comparison: "round-robin", "least-load" or "power-of-two".
	Policy string `json:"policy"`
	// ReportLagMS is the age of the load reports that a baseline uses.
	ReportLagMS clock.Millis `json:"report_lag_ms"`
	// OutcomeTimeoutMS limits the search for the outcome of a broken-off dispatch.
	OutcomeTimeoutMS clock.Millis `json:"outcome_timeout_ms"`
	// DialTimeoutMS limits the opening of a connection to an agent.
	DialTimeoutMS clock.Millis `json:"dial_timeout_ms"`
	// SettleMS is how long a stopping entry still accepts requests after it has
	// reported that it is not ready, so that the load balancer can react.
	SettleMS clock.Millis `json:"settle_ms"`
}

// EntryLimits limit what callers control.
type EntryLimits struct {
	// BodyBytes and HeaderBytes limit one request, Connections the open connections of all callers.
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	Connections int   `json:"connections"`
	// HeaderTimeoutMS and BodyTimeoutMS limit the time that slow senders take.
	HeaderTimeoutMS clock.Millis `json:"header_timeout_ms"`
	BodyTimeoutMS   clock.Millis `json:"body_timeout_ms"`
	// WriteTimeoutMS limits one write to a slow reader.
	WriteTimeoutMS clock.Millis `json:"write_timeout_ms"`
	// IdleTimeoutMS is how long an idle connection is kept.
	IdleTimeoutMS clock.Millis `json:"idle_timeout_ms"`
	// DeadlineMS is the longest deadline that a caller may set.
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Agent has the settings of an agent.
type Agent struct {
	// Target is the name of the target that the agent serves.
	Target ids.Target `json:"target"`
	// Control is the address of the port for messages, Data of that for streams.
	Control string `json:"control"`
	Data    string `json:"data"`
	// QueueTimeMS limits the queue to the work that the target does in this time.
	QueueTimeMS clock.Millis `json:"queue_time_ms"`
	// QueueMinTokens is the amount of work that may always be queued.
	QueueMinTokens ids.Tokens `json:"queue_min_tokens"`
	// GrantLifetimeMS is the time within which a grant must be used.
	GrantLifetimeMS clock.Millis `json:"grant_life_ms"`
	// FloorHoldMS is how long lower tiers are rejected after the refusal of a tier.
	FloorHoldMS clock.Millis `json:"floor_hold_ms"`
	// RememberMS is how long the outcome of a grant is kept.
	RememberMS clock.Millis `json:"remember_ms"`
	// AnswerBytes limits what is kept of one answer for a resume.
	AnswerBytes int64 `json:"answer_bytes"`
	// CoalesceMS is the shortest time between two writes of one stream; tokens that
	// arrive sooner are sent together. The first token is sent at once.
	CoalesceMS clock.Millis `json:"coalesce_ms"`
	// BodyBytes limits the body of one dispatch.
	BodyBytes int64 `json:"body_bytes"`
	// ResumeWaitMS is how long an answer is kept for an entry whose connection was
	// lost.
	ResumeWaitMS clock.Millis `json:"resume_wait_ms"`
}

// StandIns are simulated outside systems. Listen of each is the address that it serves at, an IP address and a port.
type StandIns struct {
	Platform *PlatformStandIn `json:"platform,omitempty"`
	Engines  []EngineStandIn  `json:"engines,omitempty"`
	Services []ServiceStandIn `json:"services,omitempty"`
}

// PlatformStandIn simulates the platform's table.
type PlatformStandIn struct {
	Listen string `json:"listen"`
	// Declarations is the file with the initial content of the table.
	Declarations string `json:"declarations"`
}

// EngineStandIn simulates a model engine.
type EngineStandIn struct {
	Listen string `json:"listen"`
	Model  string `json:"model"`
	// StepMS is the time of one engine step, in milliseconds; with 0 the engine
	// answers at once.
	StepMS clock.Millis `json:"step_ms"`
	// PrefillPerStep is how many prompt tokens one step processes.
	PrefillPerStep int `json:"prefill_per_step"`
	// CacheTokens is how many prompt tokens the engine caches for requests with the
	// same prefix.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// MaxBatch limits the requests that run concurrently; others queue in the engine
	// in order of arrival. 0 means no limit.
	MaxBatch int `json:"max_batch,omitempty"`
}

// ServiceStandIn simulates a plain service.
type ServiceStandIn struct {
	Listen string `json:"listen"`
}
