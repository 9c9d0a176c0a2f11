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
	domains *domains.Screen
	faults  *follow.Faults
	// faulty says that the newest row of the configuration cannot be used.
	faulty bool
}

// orderTaker takes the operators' rows with orders of roll-outs.
type orderTaker interface {
	take(rows []follow.Row, all bool, proof follow.Proof)
}

// Whole takes the configuration from the operators' rows.
func (h *configurationHandler) Whole(rows []follow.Row, proof follow.Proof) {
	h.faults.Retain(rows)
	h.change(rows, true, proof)
}

// Changed takes a newer configuration, if there is one.
func (h *configurationHandler) Changed(rows []follow.Row, proof follow.Proof) {
	h.change(rows, false, proof)
}

func (h *configurationHandler) change(rows []follow.Row, all bool, proof follow.Proof) {
	if h.orders != nil {
		h.orders.take(rows, all, proof)
	}
	h.takeDrained(rows, all) // before requests are placed by a first configuration
	for _, row := range rows {
		switch {
		case row.Key != platform.KeyConfiguration:
		case row.Gone:
			h.faults.Sound(row.Key)
		default:
			h.take(row)
		}
	}
	// A faulty row may stand over one that took a key away: what is in force stays so, but
	// nothing proves it the newest, as while the store is away.
	if !h.faulty {
		h.view.Proven(proof.CurrentAt)
	}
}

// takeDrained takes the operators' rows that drain failure domains.
func (h *configurationHandler) takeDrained(rows []follow.Row, all bool) {
	var orders []domains.Order
	for _, row := range rows {
		if domain, is := platform.DrainedOf(row.Key); is {
			orders = append(orders, domains.Order{Domain: domain, Drained: !row.Gone})
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
		h.faults.Note(row, err)
		return
	}
	h.faults.Sound(row.Key)
	if h.view.SetCatalog(catalog) {
		h.Log.WithField("revision", int64(catalog.Revision)).Info("configuration in force")
		h.applied(catalog)
	}
}

// Lost does nothing: the configuration stays, and its proof grows old.
func (h *configurationHandler) Lost(error) {}
