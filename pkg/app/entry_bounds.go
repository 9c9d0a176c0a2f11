package app

import (
	"quaydock/pkg/ablation"
	"quaydock/pkg/clock"
	"quaydock/pkg/ingress"
	"quaydock/pkg/metering"
	"quaydock/pkg/planner"
	"quaydock/pkg/quota"
	"quaydock/pkg/rollout"
	"quaydock/platform"
)

// seconds converts seconds to the clock's unit.
func seconds(s float64) clock.Millis {
	return clock.Millis(s * float64(clock.Second))
}

// applyBounds applies those bounds of the settings that may change while the process runs.
// Addresses are read at the start only.
func (p *entryProcess) applyBounds(s platform.Settings) {
	p.bounds.Store(&s.Bounds)
	p.grace.Store(int64(seconds(s.Bounds.GraceSeconds)))
	keys := p.keyGrace(s.Bounds)
	p.controller.SetKeyGrace(keys)
	p.members.SetGrace(keys.Max)
	p.retries.SetBounds(retryBounds(s.Bounds))
	p.meter.SetBounds(quotaBounds(s.Bounds))
}

// keyGrace returns how long a removed key may still be used. An entry serves keyed requests beyond that, on the
// strength of the others' heartbeats, only where the limit is not strict.
func (p *entryProcess) keyGrace(b platform.Bounds) ingress.KeyGrace {
	keys := ingress.KeyGrace{Limit: b.Revoke, Strict: b.RevokeStrict}
	if !keys.Strict && !p.Ablation.Off(ablation.KeyTrust) {
		keys.Max = p.maxKeyGrace
	}
	return keys
}

// exposure returns the limits on the traffic of a canary version.
func (p *entryProcess) exposure() rollout.Bounds {
	b := p.bounds.Load()
	return rollout.Bounds{Fraction: b.ExposeShare, Slack: b.ExposeSlack, Stop: b.Rollback}
}

// coldBounds returns the limits on the requests that cold targets get.
func (p *entryProcess) coldBounds() planner.ColdBounds {
	b := p.bounds.Load()
	return planner.ColdBounds{Over: b.ColdOver, Slack: b.ColdSlack}
}

func retryBounds(b platform.Bounds) quota.RetryBounds {
	return quota.RetryBounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: seconds(b.RetryWindowSeconds)}
}

func quotaBounds(b platform.Bounds) metering.Bounds {
	return metering.Bounds{Over: b.QuotaOver, Slack: b.QuotaSlack, Window: seconds(b.QuotaWindowSeconds)}
}
