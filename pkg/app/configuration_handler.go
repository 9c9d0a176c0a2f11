package app

import (
	"quaydock/pkg/common"
	"quaydock/pkg/domains"
	"quaydock/pkg/follow"
	"quaydock/pkg/routing"
	"quaydock/pkg/view"
	"quaydock/platform"
)

// configurationHandler puts the operators' newest configuration in force.
type configurationHandler struct {
	common.Common
	view    *view.View
	applied func(*routing.Catalog)
	orders  orderTaker // nil if roll-outs are no part of the deployment
	domains *domains.Filter
	faults  *follow.Faults
	// faulty says that the newest row of the configuration cannot be used.
	faulty bool
}

// orderTaker takes the operators' rows with orders of roll-outs.
type orderTaker interface {
	take(rows []follow.Row, all bool, proof follow.Freshness)
}

// Whole takes the configuration from the operators' rows.
func (h *configurationHandler) Snapshot(rows []follow.Row, proof follow.Freshness) {
	h.faults.Retain(rows)
	h.change(rows, true, proof)
}

// Changed takes a newer configuration, if there is one.
func (h *configurationHandler) Changed(rows []follow.Row, proof follow.Freshness) {
	h.change(rows, false, proof)
}

func (h *configurationHandler) change(rows []follow.Row, all bool, proof follow.Freshness) {
	if h.orders != nil {
		h.orders.take(rows, all, proof)
	}
	h.takeDrained(rows, all) // before requests are placed by a first configuration
	for _, row := range rows {
		switch {
		case row.Key != platform.KeyConfiguration:
		case row.Gone:
			h.faults.Clear(row.Key)
		default:
			h.take(row)
		}
	}
	// A faulty row may stand over one that took a key away: what is in force stays so, but
	// nothing proves it the newest, as while the store is away.
	if !h.faulty {
		h.view.Confirmed(proof.CurrentAt)
	}
}

// takeDrained takes the operators' rows that drain failure domains.
func (h *configurationHandler) takeDrained(rows []follow.Row, all bool) {
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

// take puts a configuration in force. A row that cannot be used leaves the former one in force.
func (h *configurationHandler) take(row follow.Row) {
	catalog, err := platform.ParseConfiguration(row.Value)
	h.faulty = err != nil
	if err != nil {
		h.faults.Add(row, err)
		return
	}
	h.faults.Clear(row.Key)
	if h.view.SetCatalog(catalog) {
		h.Log.WithField("revision", int64(catalog.Revision)).Info("configuration in force")
		h.applied(catalog)
	}
}

// Lost does nothing: the configuration stays, and its proof grows old.
func (h *configurationHandler) ReadFailed(error) {}
