package ingress

import (
	"log"
	"strings"

	"quaydock/pkg/common"
	"quaydock/pkg/telemetry"
)

// serverLog logs errors of net/http and of accepting connections. Each kind is rate-limited, since under load
// there may be one error per connection.
type serverLog struct {
	common.Common
	sampler *telemetry.Sampler
}

// serverLinesPerSecond limits the log lines of each kind. Without it an entry that was out of descriptors wrote
// 100 a second for as long as that lasted.
const serverLinesPerSecond = 1

func newServerLog(c common.Common) *serverLog {
	return &serverLog{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, serverLinesPerSecond)}
}

// NewServerLog returns a logger for the ErrorLog of an http.Server, which writes its lines as structured log
// lines, at most one a second.
func NewServerLog(c common.Common) *log.Logger {
	return newServerLog(c).standard()
}

// standard returns a logger of the standard library that writes to this log.
func (l *serverLog) standard() *log.Logger {
	return log.New(l, "", 0)
}

// Write logs one line of net/http.
func (l *serverLog) Write(line []byte) (int, error) {
	if l.sampler.Allow("server") {
		l.Log.WithField("error", strings.TrimSpace(string(line))).Warn("HTTP server error")
	}
	return len(line), nil
}

// acceptFailed logs that a connection was not accepted.
func (l *serverLog) acceptFailed(err error) {
	if l.sampler.Allow("accept") {
		l.Log.WithError(err).Warn("connection not accepted")
	}
}
