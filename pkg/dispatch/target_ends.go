package dispatch

import (
	"net/netip"

	"quaydock/pkg/packets"
	"quaydock/pkg/planner"
	"quaydock/pkg/routing"
)

// ReportEnd reports to the owner of a target's service that the process of the target has ended. The message may be lost.
func (d *Dispatcher) ReportEnd(t *routing.Target) {
	message := targetEndMessage{Service: t.Service, Incarnation: t.Incarnation()}
	sendToOwner(d, t.Service, packets.KindTargetEnd, d.owner.receiveTargetEnd, &message)
}

// receiveTargetEnd applies the report of an entry that the process of a target has ended.
func (owner *Owner) receiveTargetEnd(from netip.AddrPort, m *targetEndMessage) {
	now := owner.Clock.Now()
	owner.withPlanner(now, m.Service, from, func(p *planner.Planner) { p.RecordEnd(now, m.Incarnation) })
}
