package forward

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"quaydock/pkg/network"
)

// maxHeadBytes limits the heads of an exchange, by headSize. It has room for some hundred fields, more than
// callers and the servers between take.
const maxHeadBytes = 128 << 10

// lineBytes is the memory that a line of a head takes beside its text, as a field of the parsed head.
const lineBytes = 64

// freeHeadBytes is how much of an exchange's heads is not counted in the account: each connection has a buffer of that
// size anyway.
const freeHeadBytes = readBuffer

// readHead reads the head of the next answer that is not an interim one. A head that is none ends the exchange: where its
// body ends, and an answer begins, is not known.
func (e *exchange) readHead() (*http.Response, error) {
	e.conn.source.countHead(e.countHead)
	defer e.conn.source.countHead(nil)
	for {
		response, err := http.ReadResponse(e.conn.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, fmt.Errorf("reading the head of the answer: %w", shortened(err))
		}
		if network.IsInterimStatus(response.StatusCode) {
			continue
		}
		if err := network.CheckFinal(response); err != nil {
			return nil, fmt.Errorf("reading the head of the answer: %w", err)
		}
		return response, nil
	}
}

// maxErrorBytes limits the text of an error that quotes what a target sent.
const maxErrorBytes = 256

// shortened returns an error whose text is cut after maxErrorBytes if it is longer, as those of net/http quote whole
// lines.
func shortened(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(strings.ToValidUTF8(text[:maxErrorBytes], "") + "...")
}

// headSize returns the size of a piece of a head: its bytes, and lineBytes for each line.
func headSize(piece []byte) int { return len(piece) + lineBytes*bytes.Count(piece, []byte("\n")) }

// countHead counts a piece of the exchange's heads, and fails beyond maxHeadBytes or if there is no room for it.
func (e *exchange) countHead(size int) error {
	before := e.headBytes
	e.headBytes += size
	switch {
	case e.headBytes > maxHeadBytes:
		return e.giveUp(LimitHead, e.headBytes)
	case e.headBytes > freeHeadBytes:
		return e.hold(e.headBytes - max(before, freeHeadBytes))
	default:
		return nil
	}
}
