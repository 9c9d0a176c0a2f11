// Package telemetry makes what a process shows of itself: logs, metrics and
// traces.
package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/ids"
)

// FieldRequest is the log field with the request id.
const FieldRequest = "request"

// NewLogger returns a logger that writes JSON lines of level or above to out.
func NewLogger(out io.Writer, level string, process ids.Process) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetLevel(parsed)
	return logger.WithField("process", string(process)), nil
}
