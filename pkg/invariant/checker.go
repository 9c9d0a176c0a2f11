// Package invariant checks the invariants of the system at run time. A violation
// is logged and counted; in strict mode (tests) it stops the process.
package invariant

import (
	"expvar"
	"fmt"

	"github.com/sirupsen/logrus"
)

// Checker records violations. The zero value is not usable; use NewChecker.
type Checker struct {
	log    *logrus.Entry
	counts *expvar.Map // violations by the name of the invariant
	strict bool        // a violation stops the process
}

// NewChecker returns a checker that counts violations by name in counts. With
// strict set, a violation stops the process.
func NewChecker(log *logrus.Entry, counts *expvar.Map, strict bool) *Checker {
	return &Checker{log: log, counts: counts, strict: strict}
}

// Verify records a violation of the invariant name if holds is false. The detail is
// formatted only then, so that a check on a hot path costs one branch.
func (c *Checker) Verify(holds bool, name Name, detail string, args ...any) {
	if holds {
		return
	}
	c.violated(name, fmt.Sprintf(detail, args...))
}

// violated counts and logs a violation. It does not return in strict mode.
func (c *Checker) violated(name Name, detail string) {
	c.counts.Add(name.String(), 1)
	c.log.WithField("invariant", name.String()).Error(detail)
	if c.strict {
		stop(fmt.Sprintf("invariant %v violated: %s", name, detail))
	}
}

// stop ends the process and does not return. It panics in a goroutine of its own, since net/http and
// net/rpc would recover from a panic in a handler and carry on.
func stop(message string) {
	go panic(message)
	select {}
}
