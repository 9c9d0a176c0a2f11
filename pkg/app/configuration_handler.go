package app

import (
	"github.com/sirupsen/logrus"

	"quaydock/pkg/common"
	"quaydock/pkg/domains"
	"quaydock/pkg/follow"
	"quaydock/pkg/history"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// configurationHandler follows the operators' table and puts its newest configuration and drain orders in force.
type configurationHandler struct {
	common.Common
	view      *view.View
	onApplied func(*routing.Catalog) // called after a configuration was put in force
	onRead    func(history.Position) // called once the table has been read and applied up to a position
	orders    orderReceiver          // nil if roll-outs are disabled in this deployment
	domains   *domains.Filter
	faults    *follow.Faults // the invalid rows of the configuration; those of orders are in orders
	// faulty reports whether the newest row of the configuration is invalid.
	faulty bool
	// lost reports whether the store has an older configuration than the one in force, or none: it has returned from a
	// copy.
	lost bool
}

// orderReceiver applies the operators' rows with roll-out orders, and ignores others; all says that they are a
// snapshot.
type orderReceiver interface {
	applyOrders(rows []follow.Row, all bool, freshness follow.Freshness)
}

// Snapshot applies all rows of the operators' table.
func (h *configurationHandler) Snapshot(rows []follow.Row, freshness follow.Freshness) {
	h.faults.Retain(rows)
	h.lost = h.view.Catalog() != nil
	h.apply(rows, true, freshness)
}

// Changed applies rows that have changed, among them a newer configuration, if there is one.
func (h *configurationHandler) Changed(rows []follow.Row, freshness follow.Freshness) {
	h.apply(rows, false, freshness)
}

// apply applies rows of the table; all says that they are a snapshot.
func (h *configurationHandler) apply(rows []follow.Row, all bool, freshness follow.Freshness) {
	if h.orders != nil {
		h.orders.applyOrders(rows, all, freshness)
	}
	h.applyDrainOrders(rows, all) // before the first configuration lets requests be assigned
	for _, row := range rows {
		switch {
		case row.Key != platform.KeyConfiguration:
		case row.Gone:
			h.faults.Clear(row.Key)
		default:
			h.setConfiguration(row)
		}
	}
	// An invalid row may have replaced one that revoked a key, and a store that has lost the configuration in force may
	// have lost later ones too: it stays in force, but is not confirmed as the newest, as while the store is unreachable.
	if !h.faulty && !h.lost {
		h.view.Confirmed(freshness.CurrentAt)
	}
	h.onRead(freshness.Position)
}

// applyDrainOrders applies the operators' rows that drain failure domains. In a snapshot, a domain without one is
// restored.
func (h *configurationHandler) applyDrainOrders(rows []follow.Row, all bool) {
	var orders []domains.DrainOrder
	for _, row := range rows {
		if domain, is := platform.DrainedDomain(row.Key); is {
			orders = append(orders, domains.DrainOrder{Domain: domain, Drained: !row.Gone})
		}
	}
	if all {
		h.domains.Replace(orders)
		return
	}
	h.domains.Change(orders)
}

// setConfiguration puts a configuration in force. If the row is invalid, the former one stays in force.
func (h *configurationHandler) setConfiguration(row follow.Row) {
	catalog, err := platform.ParseConfiguration(row.Value)
	h.faulty = err != nil
	if err != nil {
		h.faults.Add(row, err)
		return
	}
	h.faults.Clear(row.Key)
	inForce := h.view.Catalog()
	h.lost = inForce != nil && catalog.Revision < inForce.Revision
	if h.view.SetCatalog(catalog) {
		h.Log.WithFields(logrus.Fields{
			"revision": int64(catalog.Revision), "accounts": len(catalog.Accounts()), "requires_key": catalog.RequiresKey(),
		}).Info("configuration in force")
		h.onApplied(catalog)
	}
}

// ReadFailed does nothing: the configuration stays in force, and its freshness ages.
func (h *configurationHandler) ReadFailed(error) {}
