// Package losses adds up, from the logs of several processes, which requests were
// lost or late, when and for what reason. It does no I/O.
package losses

import (
	"strconv"
	"strings"
	"time"

	"quaydock/pkg/ids"
	"quaydock/pkg/story"
)

// Messages and fields of the log lines that are read.
const (
	messageRefused  = "request not answered"
	messageAnswered = "request answered"
	messageLeftOut  = "log lines left out in a second, by kind"
	messageStarted  = "started"

	fieldCause   = "cause"
	fieldLate    = "late_by"
	fieldAccount = "account"
	fieldTier    = "tier"
	fieldDomain  = "domain"
	fieldPrompt  = "prompt_tokens"
	fieldHeld    = "held_ms"
	fieldBefore  = "before_ms"
)

// unknown stands for what a line does not tell.
const unknown = "?"

// latePrefix marks the causes of answers that came late.
const latePrefix = "late: "

// answeredKinds are the kinds of lines about answered requests: that some of them
// were left out says nothing of losses.
const answeredKinds = "answered"

// Loss is one request that was lost or late, or several of which only the number
// is known.
type Loss struct {
	// At is when the request came to its entry.
	At      time.Time
	Cause   string
	Tier    string
	Account string
	Entry   ids.Process
	Domain  ids.FailureDomain
	Prompt  ids.Tokens
	// CameBack says that it had been refused before.
	CameBack bool
	// Count is 1, or more if the lines were left out.
	Count int
}

// Find returns the losses that lines tell of, in the lines' order.
func Find(lines []story.Line) []Loss {
	domains := domains(lines)
	var list []Loss
	for _, l := range lines {
		entry := ids.Process(l.Text(story.FieldProcess))
		for _, loss := range of(l) {
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

// domains are the failure domains of the processes, as they tell at their start.
func domains(lines []story.Line) map[ids.Process]ids.FailureDomain {
	found := make(map[ids.Process]ids.FailureDomain)
	for _, l := range lines {
		if l.Text(story.FieldMessage) == messageStarted {
			found[ids.Process(l.Text(story.FieldProcess))] = ids.FailureDomain(l.Text(fieldDomain))
		}
	}
	return found
}

func of(l story.Line) []Loss {
	switch l.Text(story.FieldMessage) {
	case messageRefused:
		return []Loss{request(l, l.Text(fieldCause))}
	case messageAnswered:
		if late := l.Text(fieldLate); late != "" {
			return []Loss{request(l, latePrefix+late)}
		}
	case messageLeftOut:
		return leftOut(l)
	}
	return nil
}

// request is the loss that the line of one request tells of.
func request(l story.Line, cause string) Loss {
	held, _ := l.Number(fieldHeld)
	prompt, _ := l.Number(fieldPrompt)
	before, _ := l.Number(fieldBefore)
	loss := Loss{
		At: l.Time().Add(-time.Duration(held) * time.Millisecond), Cause: cause, Count: 1,
		Account: l.Text(fieldAccount), Tier: unknown, Prompt: ids.Tokens(prompt), CameBack: before > 0,
	}
	if tier, told := l.Number(fieldTier); told {
		loss.Tier = strconv.Itoa(int(tier))
	}
	if loss.Account == "" {
		loss.Account = unknown
	}
	return loss
}

// leftOut are the losses whose lines were left out, by cause.
func leftOut(l story.Line) []Loss {
	var list []Loss
	for _, name := range l.Names() {
		n, told := l.Number(name)
		if !told || strings.HasPrefix(name, answeredKinds) && !strings.HasSuffix(name, "late") {
			continue
		}
		cause := name
		if strings.HasPrefix(name, answeredKinds) {
			cause = latePrefix + "not told"
		}
		list = append(list, Loss{At: l.Time(), Cause: cause, Tier: unknown, Account: unknown, Count: int(n)})
	}
	return list
}
