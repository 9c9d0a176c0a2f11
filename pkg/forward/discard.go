package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"quaydock/pkg/clock"
)

// discardBody reads the rest of an answer that nobody gets. It gives the answer up beyond most bytes, or if the rest is not
// there within a time.
func (e *exchange) discardBody(response *http.Response, most int64, within clock.Millis, limit Limit) error {
	_ = e.conn.SetReadDeadline(time.Now().Add(within.Duration())) // an error shows at the next read
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, most+1))
	_ = e.conn.SetReadDeadline(time.Time{})
	switch ended := e.ctx.Err() != nil; {
	case ended:
		e.breakOff() // clearing the deadline may have undone that
		return e.ctx.Err()
	case n > most, errors.Is(err, os.ErrDeadlineExceeded):
		return e.giveUp(limit, int(n))
	case err != nil:
		return fmt.Errorf("discarding the rest of an answer: %w", err)
	default:
		return nil
	}
}

// breakOff makes all reads and writes on the connection fail.
func (e *exchange) breakOff() { _ = e.conn.SetDeadline(time.Unix(1, 0)) }
