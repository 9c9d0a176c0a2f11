package app

import (
	"quaydock/pkg/common"
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
}

// Whole takes the configuration from the operators' rows.
func (h *configurationHandler) Whole(rows []follow.Row, proof follow.Proof) {
	h.Changed(rows, proof)
}

// Changed takes a newer configuration, if there is one.
func (h *configurationHandler) Changed(rows []follow.Row, proof follow.Proof) {
	for _, row := range rows {
		if row.Key == platform.KeyConfiguration && !row.Gone && !h.take(row) {
			return // no proof without a configuration that can be read
		}
	}
	h.view.Proven(proof.CurrentAt)
}

func (h *configurationHandler) take(row follow.Row) bool {
	catalog, err := platform.ParseConfiguration(row.Value)
	if err != nil {
		h.Log.WithError(err).Error("the configuration in force stays")
		return false
	}
	if h.view.SetCatalog(catalog) {
		h.Log.WithField("revision", int64(catalog.Revision)).Info("configuration in force")
		h.applied(catalog)
	}
	return true
}

// Lost does nothing: the configuration stays, and its proof grows old.
func (h *configurationHandler) Lost(error) {}
