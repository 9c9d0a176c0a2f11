// Package commontest builds the dependencies that all components share, for tests.
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

// New returns dependencies with strict invariant checks, a fixed seed and no log, which use the given network.
func New(transport network.Network) common.Common {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	metrics := telemetry.NewMetrics()
	const seed = 1
	return common.Common{
		Log:     log,
		Clock:   clock.New(),
		Network: transport,
		Metrics: metrics,
		Tracer:  noop.NewTracerProvider().Tracer(""),
		Random:  random.NewSource(seed),
		Check:   invariant.NewChecker(log, metrics.Violations, true),
	}
}
