package dispatch

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/planner"
)

// spillFields returns what a planner's line tells of spilled requests, nothing while all targets are in one failure domain.
func spillFields(s *planner.Summary) logrus.Fields {
	if s.Domains < 2 {
		return nil
	}
	return logrus.Fields{"domains": s.Domains, "local": s.Spills.Local, "spilled": s.Spills.Spilled, "spilled_tokens": int64(s.Spills.SpilledTokens)}
}
