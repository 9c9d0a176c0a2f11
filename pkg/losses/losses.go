// Package losses extracts from the logs of several processes which requests were lost or answered late,
// when and why, and counts them. Logs are passed in as parsed lines: only Plot writes a file.
package losses

import (
	"strconv"
	"strings"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/requestlog"
)

// Messages and fields of the log lines that are evaluated.
const (
	messageRefused  = "request not answered"
	messageAnswered = "request answered"
	messageLeftOut  = "log lines left out in a second, by kind"
	messageStarted  = "started"

	fieldCause   = "cause"   // why a request was not answered
	fieldLate    = "late_by" // why an answer was late; absent if it was in time
	fieldAccount = "account"
	fieldTier    = "tier"   // the rank
	fieldDomain  = "domain" // the process's failure domain, in the line of its start
	fieldPrompt  = "prompt_tokens"
	fieldHeld    = "held_ms"   // from the arrival of a request to its end
	fieldBefore  = "before_ms" // from the caller's first try to this one; absent for a first try
)

// unknown replaces a value that a line does not have.
const unknown = "?"

// latePrefix begins the causes of late answers.
const latePrefix = "late: "

// answeredPrefix begins the kinds of log lines about answered requests. Suppressed lines of these kinds are
// no losses, except those about late answers.
const answeredPrefix = "answered"

// Loss is one lost or late request, or several of which only the number is known since their log lines were
// suppressed.
type Loss struct {
	// At is when the request arrived at its entry, or for suppressed lines when their summary was logged.
	At    time.Time
	Cause string // of a late answer with latePrefix
	Tier  string // the rank in decimal, or unknown
	// Account is unknown if the line names none.
	Account string
	// Entry is the process that logged the loss, and Domain its failure domain, or unknown.
	Entry  ids.Process
	Domain ids.FailureDomain
	// PromptTokens is 0 if the line does not have them.
	PromptTokens ids.Tokens
	// RefusedBefore tells whether the caller repeated a request that had been refused before.
	RefusedBefore bool
	// Count is the number of requests: 1, or the number of suppressed lines.
	Count int
}

// Find returns the losses found in lines, in the order of the lines.
func Find(lines []requestlog.Line) []Loss {
	domains := processDomains(lines)
	var list []Loss
	for _, l := range lines {
		entry := ids.Process(l.Text(requestlog.FieldProcess))
		for _, loss := range lossesOf(l) {
			loss.Entry = entry
			loss.Domain = domains[entry]
			if loss.Domain == "" {
				loss.Domain = unknown
			}
			list = append(list, loss)
		}
	}
	return list
}

// processDomains returns the failure domain of each process, as logged at its start.
func processDomains(lines []requestlog.Line) map[ids.Process]ids.FailureDomain {
	found := make(map[ids.Process]ids.FailureDomain)
	for _, l := range lines {
		if l.Text(requestlog.FieldMessage) == messageStarted {
			found[ids.Process(l.Text(requestlog.FieldProcess))] = ids.FailureDomain(l.Text(fieldDomain))
		}
	}
	return found
}

// lossesOf returns the losses that one log line tells of, without their entry and failure domain.
func lossesOf(l requestlog.Line) []Loss {
	switch l.Text(requestlog.FieldMessage) {
	case messageRefused:
		return []Loss{requestLoss(l, l.Text(fieldCause))}
	case messageAnswered:
		if late := l.Text(fieldLate); late != "" {
			return []Loss{requestLoss(l, latePrefix+late)}
		}
	case messageLeftOut:
		return suppressedLosses(l)
	}
	return nil
}

// requestLoss returns the loss described by the log line of one request. The line was written when the request
// ended, held_ms after its arrival.
func requestLoss(l requestlog.Line, cause string) Loss {
	held, _ := l.Number(fieldHeld)
	prompt, _ := l.Number(fieldPrompt)
	before, _ := l.Number(fieldBefore)
	loss := Loss{
		At: l.Time().Add(-time.Duration(held) * time.Millisecond), Cause: cause, Count: 1,
		Account: l.Text(fieldAccount), Tier: unknown, PromptTokens: ids.Tokens(prompt), RefusedBefore: before > 0,
	}
	if tier, present := l.Number(fieldTier); present {
		loss.Tier = strconv.Itoa(int(tier))
	}
	if loss.Account == "" {
		loss.Account = unknown
	}
	return loss
}

// suppressedLosses returns the losses whose log lines were suppressed, one for each cause. The line has a field with
// their number for each kind of suppressed line: the cause, "answered" or "answered_late".
func suppressedLosses(l requestlog.Line) []Loss {
	var list []Loss
	for _, name := range l.Names() {
		n, present := l.Number(name)
		if !present || strings.HasPrefix(name, answeredPrefix) && !strings.HasSuffix(name, "late") {
			continue
		}
		cause := name
		if strings.HasPrefix(name, answeredPrefix) {
			cause = latePrefix + "not told"
		}
		list = append(list, Loss{At: l.Time(), Cause: cause, Tier: unknown, Account: unknown, Count: int(n)})
	}
	return list
}
