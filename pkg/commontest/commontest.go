// Package commontest builds what all parts share, for tests.
package commontest

import (
	"io"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"quaydock/pkg/clock"
	"quaydock/pkg/common"
	"quaydock/pkg/invariant"
	"quaydock/pkg/network"
	"quaydock/pkg/random"
	"quaydock/pkg/telemetry"
)

// New returns strict parts over a network, with a fixed seed and no log.
func New(reach network.Network) common.Common {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	metrics := telemetry.NewMetrics()
	const seed = 1
	return common.Common{
		Log:     log,
		Clock:   clock.New(),
		Network: reach,
		Metrics: metrics,
		Tracer:  noop.NewTracerProvider().Tracer(""),
		Random:  random.NewSource(seed),
		Check:   invariant.NewChecker(log, metrics.Violations, true),
	}
}
