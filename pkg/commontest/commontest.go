// Package commontest provides the shared dependencies and fakes of outside systems
// for tests.
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

// New returns dependencies for tests: strict invariants, a fixed seed, no log and
// the given network.
func New(net network.Network) common.Common {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	metrics := telemetry.NewMetrics()
	const seed = 1
	return common.Common{
		Log:     log,
		Clock:   clock.New(),
		Network: net,
		Metrics: metrics,
		Tracer:  noop.NewTracerProvider().Tracer(""),
		Random:  random.NewSource(seed),
		Check:   invariant.NewChecker(log, metrics.Violations, true),
	}
}
