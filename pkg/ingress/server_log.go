package ingress

import (
	"log"
	"strings"

	"quaydock/pkg/common"
	"quaydock/pkg/telemetry"
)

// serverLog logs the errors of net/http and of accepting connections, of each kind only a few: under
// load there is one with each connection.
type serverLog struct {
	common.Common
	sampler *telemetry.Sampler
}

// serverLinesASecond bounds the lines of a kind. Without it an entry without descriptors wrote
// 100 a second, for as long as that lasted.
const serverLinesASecond = 1

func newServerLog(c common.Common) *serverLog {
	return &serverLog{Common: c, sampler: telemetry.NewSampler(c.Clock, c.Log, serverLinesASecond)}
}

// NewServerLog is for the ErrorLog of an http.Server: its lines become structured ones, one a
// second at the most.
func NewServerLog(c common.Common) *log.Logger {
	return newServerLog(c).standard()
}

// standard returns it as a logger of the standard library.
func (l *serverLog) standard() *log.Logger {
	return log.New(l, "", 0)
}

// Write takes a line of net/http.
func (l *serverLog) Write(line []byte) (int, error) {
	if l.sampler.Allow("server") {
		l.Log.WithField("error", strings.TrimSpace(string(line))).Warn("a server complains")
	}
	return len(line), nil
}

// accept logs that a connection was not taken.
func (l *serverLog) accept(err error) {
	if l.sampler.Allow("accept") {
		l.Log.WithError(err).Warn("connection not accepted")
	}
}
