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

// ownAnswer is the head of the answer to the exchange's own request. Only claim makes one, so that no exchange ends with
// another answer, and no connection is kept on which its own is yet to come.
type ownAnswer struct {
	*http.Response
	metadata AnswerMetadata
}

// claim returns the answer to the exchange's own request, or nil if the head does not name it: what a target sends beside
// its answers, also a refusal, says nothing of the request.
func (e *exchange) claim(response *http.Response) *ownAnswer {
	own := &ownAnswer{response, e.pool.readMetadata(response.Header)}
	if owner := e.ownerOf(&own.metadata); owner != OwnerThis {
		e.recordStray(response, &own.metadata, owner)
		return nil
	}
	return own
}

// ownerOf returns whose answer a head belongs to.
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

// recordStray logs and counts an answer that does not belong to the exchange's own request.
func (e *exchange) recordStray(response *http.Response, metadata *AnswerMetadata, owner Owner) {
	p := e.pool
	p.Metrics.Links.Add("stray_answers", 1)
	p.Metrics.Prometheus.Add("answers_not_named", "owner", owner.String())
	if p.sampler.Allow("not named") {
		p.Log.WithFields(logrus.Fields{
			telemetry.FieldRequest: e.request.ID, "target": string(e.target.ID), "owner": owner.String(), "named": metadata.ID,
			"status": response.StatusCode, "process": string(metadata.Target), "local": e.conn.LocalAddr().String(), "reused": e.conn.reused,
		}).Info("a target's answer does not name the request that waits for it")
	}
}
