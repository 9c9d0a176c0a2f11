package forward

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/telemetry"
)

// Owner is whose answer a target has sent, by the request id in its head.
type Owner int

//go:generate stringer -type=Owner -trimprefix=Owner -output=answer_owner_string.go

// The owners.
const (
	// OwnerThis: the head names the request under way, or no request if that has no id, as a question to the target.
	OwnerThis Owner = iota
	// OwnerNone: the head names no request, but the one under way has an id.
	OwnerNone
	// OwnerOther: the head names another request.
	OwnerOther
)

// ownerOf returns whose answer a head belongs to, where the request waits for one.
func (e *exchange) ownerOf(metadata *AnswerMetadata) Owner {
	switch metadata.ID {
	case e.request.ID:
		return OwnerThis
	case "":
		return OwnerNone
	default:
		return OwnerOther
	}
}

// recordOwner logs and counts an answer that does not name the request that waits for it, and whether it was taken for the
// answer to that request all the same.
func (e *exchange) recordOwner(response *http.Response, metadata *AnswerMetadata, taken bool) {
	owner := e.ownerOf(metadata)
	if owner == OwnerThis {
		return
	}
	p := e.pool
	p.Metrics.Prometheus.Add("answers_not_named", "owner", owner.String())
	if p.sampler.Allow("not named") {
		p.Log.WithFields(logrus.Fields{
			telemetry.FieldRequest: e.request.ID, "target": string(e.target.ID), "owner": owner.String(), "named": metadata.ID,
			"status": response.StatusCode, "process": string(metadata.Target), "local": e.conn.LocalAddr().String(), "reused": e.conn.reused, "taken": taken,
		}).Info("a target's answer does not name the request that waits for it")
	}
}
