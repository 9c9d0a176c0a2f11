package experiment

import (
	"fmt"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quaydock/pkg/ids"
)

const (
	maxFirstTokenMS   = 600_000 // longer times count as this one
	significantDigits = 3       // digits of the times in histograms
	percent           = 100     // a fraction times this is a percentage
)

// Result is the outcome of a scenario under one policy.
type Result struct {
	Scenario  string
	Policy    string
	tierOrder []ids.Tier // as they first occur in the scenario's classes
	Tiers     map[ids.Tier]*TierResult
	Refusals  map[string]int // by error code and ending, as "code (ending)"
	// ComputedPrompt is the number of prompt tokens that engines computed, NeededPrompt the number that the complete
	// answers needed if every shared text were computed once.
	ComputedPrompt, NeededPrompt int
	// Violations counts requests that ran more than once, that ran although their caller was told that they did
	// not, or that got an answer which is not their own. Each should be 0.
	Violations int
}

// TierResult is the outcome for the requests of one tier.
type TierResult struct {
	// Offered counts the requests that were sent, InTime those with a complete answer within the deadline, and
	// OfferedTokens and InTimeTokens the tokens of the answers that they asked for.
	Offered, InTime             int
	OfferedTokens, InTimeTokens int
	// FirstTokenMS is the time from the sending of a request until the engine made the first token, in milliseconds.
	FirstTokenMS *hdrhistogram.Histogram
}

func newResult(s *Scenario, policy string) *Result {
	r := &Result{Scenario: s.Name, Policy: policy, Tiers: make(map[ids.Tier]*TierResult), Refusals: make(map[string]int)}
	for _, c := range s.Classes {
		if r.Tiers[c.Tier] == nil {
			r.tierOrder = append(r.tierOrder, c.Tier)
			r.Tiers[c.Tier] = &TierResult{FirstTokenMS: hdrhistogram.New(1, maxFirstTokenMS, significantDigits)}
		}
	}
	return r
}

// Goodput returns the percentage of the tier's requests that were answered in time.
func (t *TierResult) Goodput() float64 {
	return percent * float64(t.InTime) / float64(max(1, t.Offered))
}

// TokenGoodput returns which percentage of all answer tokens that requests of all tiers asked for belonged to answers
// that were complete in time.
func (r *Result) TokenGoodput() float64 {
	var good, offered int
	for _, t := range r.Tiers {
		good += t.InTimeTokens
		offered += t.OfferedTokens
	}
	return percent * float64(good) / float64(max(1, offered))
}

// Wasted returns the percentage of computed prompt tokens that were discarded or computed again.
func (r *Result) Wasted() float64 {
	return percent * max(0, 1-float64(r.NeededPrompt)/float64(max(1, r.ComputedPrompt)))
}

// Table formats results of one scenario as a Markdown table with a row for each policy.
func Table(results []*Result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n| policy |", results[0].Scenario)
	for _, tier := range results[0].tierOrder {
		fmt.Fprintf(&b, " %s %% (p95 first, ms) |", tier)
	}
	b.WriteString(" tokens in time % | wasted prompt % | refusals | violations |\n|")
	b.WriteString(strings.Repeat(" --- |", len(results[0].tierOrder)+5) + "\n")
	for _, r := range results {
		b.WriteString(r.row())
	}
	return b.String()
}

// row formats the results of one policy as a row of Table.
func (r *Result) row() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |", r.Policy)
	for _, tier := range r.tierOrder {
		t := r.Tiers[tier]
		fmt.Fprintf(&b, " %.1f (%d) |", t.Goodput(), t.FirstTokenMS.ValueAtQuantile(95))
	}
	var refusals []string
	for code, n := range r.Refusals {
		refusals = append(refusals, fmt.Sprintf("%s: %d", code, n))
	}
	slices.Sort(refusals)
	fmt.Fprintf(&b, " %.1f | %.1f | %s | %d |\n", r.TokenGoodput(), r.Wasted(), strings.Join(refusals, ", "), r.Violations)
	return b.String()
}
