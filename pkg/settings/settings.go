// Package settings has the one struct of a process's settings, with defaults,
// loading and checks. docs/operating/SETTINGS.md documents each field;
// examples/settings.schema.json is generated from the struct.
package settings

import (
	"quaydock/pkg/clock"
	"quaydock/pkg/ids"
)

// Settings are all settings of one process.
type Settings struct {
	// Process names this process in logs and traces.
	Process ids.Process `json:"process"`
	// FailureDomain is where this process runs.
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	Log           Log               `json:"log"`
	Trace         Trace             `json:"trace"`
	Operators     Operators         `json:"operators"`
	Platform      Platform          `json:"platform"`
	// HeapReserveMB is how many megabytes of garbage may gather, beside as much
	// as is live, before the collector runs.
	HeapReserveMB int `json:"heap_reserve_mb"`
	// Seed makes the random choices of a trial repeatable; 0 draws a seed.
	Seed uint64 `json:"seed,omitempty"`
	// StrictInvariants stops the process at a violated invariant.
	StrictInvariants bool `json:"strict_invariants"`
	// Entry is set on an entry VM.
	Entry *Entry `json:"entry,omitempty"`
	// Agents has one element on a target VM, and more only for a trial of
	// several targets on one machine.
	Agents []Agent `json:"agents,omitempty"`
	// StandIns run inside the process for a trial without outside systems.
	StandIns *StandIns `json:"stand_ins,omitempty"`
}

// Log says what is logged.
type Log struct {
	// Level is a logrus level: "debug", "info", "warning" or "error".
	Level string `json:"level"`
}

// Trace says where spans go.
type Trace struct {
	// Exporter is "none", "file" or "otlp".
	Exporter string `json:"exporter"`
	// File is the path for "file".
	File string `json:"file,omitempty"`
	// Endpoint is the base URL for "otlp".
	Endpoint string `json:"endpoint,omitempty"`
	// Ratio is the share of requests traced, from 0 to 1.
	Ratio float64 `json:"ratio"`
}

// Operators is the port for operators: health, metrics and state.
type Operators struct {
	Listen string `json:"listen"`
}

// Platform says how the platform is reached.
type Platform struct {
	// Table is the base URL of the transactional table.
	Table string `json:"table"`
	// PollMS is the time between looks at the head revision, in milliseconds.
	PollMS clock.Millis `json:"poll_ms"`
	// TimeoutMS bounds one call, in milliseconds.
	TimeoutMS clock.Millis `json:"timeout_ms"`
}

// Entry has the settings of an entry.
type Entry struct {
	// Listen is the callers' port.
	Listen string      `json:"listen"`
	Limits EntryLimits `json:"limits"`
	// TicketsPerRequest is how many agents are asked at once.
	TicketsPerRequest int `json:"tickets_per_request"`
	// Policy is how targets are chosen: "late-binding", or a baseline for
	// comparison: "round-robin", "least-load" or "power-of-two".
	Policy string `json:"policy"`
	// ReportLagMS is how old the load is that a baseline decides on.
	ReportLagMS clock.Millis `json:"report_lag_ms"`
	// OutcomeTimeoutMS bounds the search for the outcome of a broken dispatch.
	OutcomeTimeoutMS clock.Millis `json:"outcome_timeout_ms"`
	// DialTimeoutMS bounds the making of a connection to an agent.
	DialTimeoutMS clock.Millis `json:"dial_timeout_ms"`
	// SettleMS is how long a stopping entry, already not ready, still takes
	// requests, so that the balancer can notice.
	SettleMS clock.Millis `json:"settle_ms"`
}

// EntryLimits bound what callers control.
type EntryLimits struct {
	BodyBytes   int64 `json:"body_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	Connections int   `json:"connections"`
	// HeaderTimeoutMS and BodyTimeoutMS bound slow senders.
	HeaderTimeoutMS clock.Millis `json:"header_timeout_ms"`
	BodyTimeoutMS   clock.Millis `json:"body_timeout_ms"`
	// WriteTimeoutMS bounds one write to a slow reader.
	WriteTimeoutMS clock.Millis `json:"write_timeout_ms"`
	// IdleTimeoutMS bounds an idle connection.
	IdleTimeoutMS clock.Millis `json:"idle_timeout_ms"`
	// DeadlineMS bounds the deadline that a caller may name.
	DeadlineMS clock.Millis `json:"deadline_ms"`
}

// Agent has the settings of an agent.
type Agent struct {
	// Target is the name of the target that the agent stands beside.
	Target ids.Target `json:"target"`
	// Control is the port for messages, Data the port for streams.
	Control string `json:"control"`
	Data    string `json:"data"`
	// QueueTimeMS bounds the queue by the work drained in this time.
	QueueTimeMS clock.Millis `json:"queue_time_ms"`
	// QueueMinTokens is the work that may always wait.
	QueueMinTokens ids.Tokens `json:"queue_min_tokens"`
	// GrantLifeMS is the time in which a grant must be used.
	GrantLifetimeMS clock.Millis `json:"grant_life_ms"`
	// FloorHoldMS is how long lower tiers stay refused after a refusal.
	FloorHoldMS clock.Millis `json:"floor_hold_ms"`
	// RememberMS is how long the fate of a grant is kept.
	RememberMS clock.Millis `json:"remember_ms"`
	// AnswerBytes bounds what is kept of one answer for a resume.
	AnswerBytes int64 `json:"answer_bytes"`
	// CoalesceMS is the least time between two writes of one stream: tokens that
	// come sooner go together. The first token never waits.
	CoalesceMS clock.Millis `json:"coalesce_ms"`
	// BodyBytes bounds the body of one dispatch.
	BodyBytes int64 `json:"body_bytes"`
	// ResumeWaitMS is how long an answer is kept for an entry that lost its
	// connection.
	ResumeWaitMS clock.Millis `json:"resume_wait_ms"`
}

// StandIns are small replacements of outside systems.
type StandIns struct {
	Platform *PlatformStandIn `json:"platform,omitempty"`
	Engines  []EngineStandIn  `json:"engines,omitempty"`
	Services []ServiceStandIn `json:"services,omitempty"`
}

// PlatformStandIn is the platform's table in this process.
type PlatformStandIn struct {
	Listen string `json:"listen"`
	// Declarations is the file that fills the table at the start.
	Declarations string `json:"declarations"`
}

// EngineStandIn is a model engine.
type EngineStandIn struct {
	Listen string `json:"listen"`
	Model  string `json:"model"`
	// StepMS is the time of one engine step, in milliseconds; 0 answers at
	// once.
	StepMS clock.Millis `json:"step_ms"`
	// PrefillPerStep is how many prompt tokens one step takes.
	PrefillPerStep int `json:"prefill_per_step"`
	// CacheTokens is how many prompt tokens the engine keeps for requests with
	// the same beginning.
	CacheTokens int `json:"cache_tokens,omitempty"`
	// MaxBatch bounds the requests that run at once; others queue in the engine
	// in order of arrival. 0 means no bound.
	MaxBatch int `json:"max_batch,omitempty"`
}

// ServiceStandIn is a plain service.
type ServiceStandIn struct {
	Listen string `json:"listen"`
}
