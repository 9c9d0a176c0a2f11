// Package table is the client of the platform's transactional table, which holds durable data such as
// the configuration.
package table

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/network"
)

// Key names a row of the table.
type Key string

// Version counts the writes to a row; 0 means that there is no such row.
type Version int64

// Row is one row of the table.
type Row struct {
	Key     Key             `json:"key"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Condition holds if the row's version is Version; with Version 0, if there is no such row.
type Condition struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
}

// Write sets the value of a row.
type Write struct {
	Key   Key             `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Transaction makes all its writes if all its conditions hold, and otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Paths of the table service.
const (
	PathRows         = "/v1/rows/"
	PathTransactions = "/v1/transactions"
)

// Table is the client of the transactional table.
type Table struct {
	base    string // the URL before the paths
	client  *http.Client
	timeout clock.Millis // of one call
	closed  atomic.Bool  // set by Close, for good
}

// ErrClosed is returned by calls to a closed table.
var ErrClosed = errors.New("the table's client is closed")

// maxAnswerBytes limits an answer of the table, which has one row at the most.
const maxAnswerBytes = 64 << 20

// NewTable returns a client of the table at the URL base. Each call is limited by timeout.
func NewTable(via network.Network, base string, timeout clock.Millis) *Table {
	transport := network.LimitBodies(network.NewTransport(via, network.TransportOptions{}), maxAnswerBytes)
	return &Table{base: base, client: &http.Client{Transport: transport}, timeout: timeout}
}

// Read returns the row at key. The error is of kind errors.NotFound if there is no such row.
func (t *Table) Read(ctx context.Context, key Key) (Row, error) {
	var row Row
	response, err := t.do(ctx, t.sling().Get(PathRows+string(key)), &row)
	if err != nil {
		return Row{}, fmt.Errorf("reading row %s: %w", key, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return row, nil
	case http.StatusNotFound:
		return Row{}, errors.NotFoundf("row %s", key)
	default:
		return Row{}, fmt.Errorf("reading row %s: status %d", key, response.StatusCode)
	}
}

// readValue reads a row and decodes its JSON value into the variable that into points to. Its errors are those of Read,
// and one for a value that can't be decoded.
func (t *Table) readValue(ctx context.Context, key Key, into any) error {
	row, err := t.Read(ctx, key)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return fmt.Errorf("decoding value of row %s: %w", key, err)
	}
	return nil
}

// Commit commits a transaction. An error of kind errors.AlreadyExists says that a condition did not
// hold and nothing was written. After any other error the writes may or may not have been made: the
// caller has to read them back.
func (t *Table) Commit(ctx context.Context, transaction Transaction) error {
	response, err := t.do(ctx, t.sling().Post(PathTransactions).BodyJSON(transaction), nil)
	if err != nil {
		return fmt.Errorf("committing transaction: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.AlreadyExistsf("a newer version of a row")
	default:
		return fmt.Errorf("committing transaction: status %d", response.StatusCode)
	}
}

// Close closes idle connections. Calls after it fail with ErrClosed: a call in the background, such as
// the release of a claim, would open a connection that is never closed.
func (t *Table) Close() {
	t.closed.Store(true)
	t.client.CloseIdleConnections()
}

// sling returns a new call to the table service, without a path yet.
func (t *Table) sling() *sling.Sling {
	return sling.New().Base(t.base).Client(t.client)
}

// dropIfClosed is called at the end of each call: if the table was closed meanwhile, the connection of
// the call has become idle only after Close.
func (t *Table) dropIfClosed() {
	if t.closed.Load() {
		t.client.CloseIdleConnections()
	}
}

// do makes one call, within the timeout, and decodes the answer into a value unless that is nil. The caller checks the
// status.
func (t *Table) do(ctx context.Context, call *sling.Sling, into any) (*http.Response, error) {
	if t.closed.Load() {
		return nil, ErrClosed
	}
	defer t.dropIfClosed()
	ctx, cancel := context.WithTimeout(ctx, t.timeout.Duration())
	defer cancel()
	request, err := call.Request()
	if err != nil {
		return nil, fmt.Errorf("building table request: %w", err)
	}
	response, err := call.Do(request.WithContext(ctx), into, nil)
	if err != nil {
		return nil, fmt.Errorf("calling the table: %w", err)
	}
	return response, nil
}
