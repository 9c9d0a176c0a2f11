// Package ids defines the types of the identifiers that processes exchange.
package ids

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Names chosen by operators.
type (
	// Account names a client account.
	Account string
	// Service names what callers request: a model or a plain service.
	Service string
	// Target names one engine or plain service process.
	Target string
	// Tier names a tier of requests.
	Tier string
	// FailureDomain names a part of a deployment whose VMs may fail together.
	FailureDomain string
	// Process names one process of the system, as set in its settings.
	Process string
	// Version names a version of the software that a target runs.
	Version string
	// Route names a route of the operators' configuration.
	Route string
)

// TierRank is the position of a tier in the order of tiers; 0 is the highest.
type TierRank int

// BelowAllTiers is a rank below that of every tier.
const BelowAllTiers = TierRank(math.MaxInt32)

// Higher reports whether r has priority over other.
func (r TierRank) Higher(other TierRank) bool {
	return r < other
}

// Tokens counts prompt or answer tokens.
type Tokens int64

// PromptPart identifies a part of a prompt that other requests may have in common, as callers declare it. Its text is in
// hexadecimal.
type PromptPart uint64

// String returns the part in hexadecimal.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// MarshalText encodes the part for rows of the store and logs.
func (p PromptPart) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText decodes what MarshalText returns. Any other text gives an error of kind errors.NotValid.
func (p *PromptPart) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return fmt.Errorf("part of a prompt %q: %w", text, errors.NotValid)
	}
	*p = PromptPart(n)
	return nil
}

// Request identifies one caller's request: 128 random bits in hexadecimal.
type Request string

// requestBytes is the length of a request id before its hexadecimal encoding.
const requestBytes = 16

// NewRequest returns a random request id.
func NewRequest() Request {
	var b [requestBytes]byte
	// crypto/rand.Read never returns an error; the runtime aborts the process instead.
	_, _ = rand.Read(b[:])
	return Request(hex.EncodeToString(b[:]))
}

// Incarnation identifies one run of an agent's process. A later run has a higher
// number, provided that the clocks of the VMs that one target runs on differ by
// less than a second.
type Incarnation uint64

// incarnationRandomBits is the number of low bits of an Incarnation that are random; the start time is above them.
const incarnationRandomBits = 16

// NewIncarnation composes the number of the start time in milliseconds and 16
// random bits, which distinguish two starts in the same millisecond.
func NewIncarnation(startMillis int64) Incarnation {
	var b [2]byte
	_, _ = rand.Read(b[:])
	low := uint64(b[0])<<8 | uint64(b[1])
	return Incarnation(uint64(startMillis)<<incarnationRandomBits | low)
}

// Grant identifies one permission to dispatch, issued by one incarnation of one
// agent. The zero value means no grant.
type Grant struct {
	Agent    Incarnation
	Sequence uint64 // the number of the grant among those of its agent's incarnation
}

// String returns the form used in headers: incarnation and sequence number in
// hexadecimal, separated by a dash.
func (g Grant) String() string {
	return strconv.FormatUint(uint64(g.Agent), 16) + "-" + strconv.FormatUint(g.Sequence, 16)
}

// ParseGrant parses the form that String returns. Its error is of kind
// errors.NotValid.
func ParseGrant(text string) (Grant, error) {
	agent, sequence, found := strings.Cut(text, "-")
	if !found {
		return Grant{}, fmt.Errorf("parsing grant %q: no dash: %w", text, errors.NotValid)
	}
	a, err := strconv.ParseUint(agent, 16, 64)
	if err != nil {
		return Grant{}, fmt.Errorf("parsing grant %q: incarnation is not a 64-bit hexadecimal number: %w", text, errors.NotValid)
	}
	s, err := strconv.ParseUint(sequence, 16, 64)
	if err != nil {
		return Grant{}, fmt.Errorf("parsing grant %q: sequence is not a 64-bit hexadecimal number: %w", text, errors.NotValid)
	}
	return Grant{Agent: Incarnation(a), Sequence: s}, nil
}
