// Package common has the one struct of things that every part is handed.
package common

import (
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/invariant"
	"quaydock/pkg/network"
	"quaydock/pkg/random"
	"quaydock/pkg/telemetry"
)

// Common is handed by value to each constructor.
type Common struct {
	Log     *logrus.Entry
	Clock   clock.Clock
	Network network.Network
	Metrics *telemetry.Metrics
	Tracer  trace.Tracer
	Check   *invariant.Checker
	Random  *random.Source
	// Ablation is what is switched off for an experiment.
	Ablation ablation.Set
}
