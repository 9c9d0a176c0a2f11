package settings

import "quaydock/pkg/clock"

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the settings that apply where a file sets no value.
func Default() Settings {
	return Settings{
		Log:           Log{Level: "info"},
		Trace:         Trace{Exporter: "none"},
		HeapReserveMB: 48,
		Platform: Platform{
			PollMS:    2 * clock.Second,
			TimeoutMS: 2 * clock.Second,
		},
	}
}

// DefaultEntry returns the entry settings that apply where a file sets no value.
func DefaultEntry() Entry {
	return Entry{
		TicketsPerRequest: 2,
		Policy:            "late-binding",
		ReportLagMS:       clock.Second,
		OutcomeTimeoutMS:  10 * clock.Second,
		DialTimeoutMS:     clock.Second,
		SettleMS:          2 * clock.Second,
		Limits: EntryLimits{
			BodyBytes:       8 * mebibyte,
			HeaderBytes:     32 * kibibyte,
			Connections:     20_000,
			HeaderTimeoutMS: 10 * clock.Second,
			BodyTimeoutMS:   30 * clock.Second,
			WriteTimeoutMS:  30 * clock.Second,
			IdleTimeoutMS:   2 * clock.Minute,
			DeadlineMS:      60 * clock.Minute,
		},
	}
}

// DefaultAgent returns the agent settings that apply where a file sets no value.
func DefaultAgent() Agent {
	return Agent{
		QueueTimeMS:     20 * clock.Second,
		QueueMinTokens:  20_000,
		GrantLifetimeMS: 2 * clock.Second,
		FloorHoldMS:     2 * clock.Second,
		RememberMS:      30 * clock.Second,
		AnswerBytes:     256 * kibibyte,
		CoalesceMS:      8,
		BodyBytes:       8 * mebibyte,
		ResumeWaitMS:    15 * clock.Second,
	}
}
