// Package telemetry provides the logs, metrics and traces of a process.
package telemetry

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"quaydock/pkg/ids"
)

// FieldRequest is the log field that holds the request id.
const FieldRequest = "request"

// NewLogger returns a logger that writes entries of the given level or above to
// out as JSON lines.
func NewLogger(out io.Writer, level string, process ids.Process) (*logrus.Entry, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("parsing the log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{})
	logger.SetLevel(parsed)
	return logger.WithField("process", string(process)), nil
}
