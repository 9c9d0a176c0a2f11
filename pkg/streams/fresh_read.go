package streams

import (
	"context"
	"sync"

	"quaydock/pkg/ids"
)

// freshReads are the reads of records from the store that lookups wait for. One read serves all lookups that began before
// it was sent.
type freshReads struct {
	mu       sync.Mutex
	services map[ids.Service]*freshRead // that are under way
}

// freshRead is one read of a record.
type freshRead struct {
	record *Record // nil if the store has none of its present era; read only once done is closed
	err    error
	done   chan struct{}
	next   *freshRead // for the lookups that have begun since it was sent; nil if there is none
}

// readFresh returns the record of a service as the store has it at a moment after the call, nil if it has none of its
// present era.
func (o *Origins) readFresh(ctx context.Context, service ids.Service) (*Record, error) {
	read := o.reads.join(service, o.runRead)
	select {
	case <-read.done:
		return read.record, read.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns a read that has not been sent yet, and has it run once the one that is under way has ended.
func (r *freshReads) join(service ids.Service, run func(ids.Service, *freshRead)) *freshRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	underWay := r.services[service]
	if underWay == nil {
		read := &freshRead{done: make(chan struct{})}
		r.services[service] = read
		go run(service, read)
		return read
	}
	if underWay.next == nil {
		underWay.next = &freshRead{done: make(chan struct{})}
	}
	return underWay.next
}

// runRead reads a record, and then runs the next read.
func (o *Origins) runRead(service ids.Service, read *freshRead) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout.Duration())
	defer cancel()
	read.record, read.err = o.readRecord(ctx, service)
	close(read.done)
	o.reads.mu.Lock()
	defer o.reads.mu.Unlock()
	if read.next == nil {
		delete(o.reads.services, service)
		return
	}
	o.reads.services[service] = read.next
	go o.runRead(service, read.next)
}

// readRecord reads a record from the store; nil if there is none of the present era.
func (o *Origins) readRecord(ctx context.Context, service ids.Service) (*Record, error) {
	row, at, err := o.store.Read(ctx, service)
	if err != nil {
		o.Metrics.Prometheus.Add("stream_records_read", "result", "failed")
		return nil, err
	}
	o.Metrics.Prometheus.Add("stream_records_read", "result", "read")
	record, err := ParseRecord(row.Value)
	if row.Gone || err != nil || record.Era != at.Era {
		return nil, nil //nolint:nilerr // a row that says nothing is no failure of the read; ApplyRecords reports it
	}
	return record, nil
}
