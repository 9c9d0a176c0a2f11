package claim

import (
	"context"
	"errors"
	"sync"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/table"
)

// maxBatch is the maximum number of claims in one transaction.
const maxBatch = 128

// pendingWrite is one conditional write.
type pendingWrite struct {
	condition table.Condition
	write     table.Write
	done      chan error // receives the one result; has room for it, since commit may no longer wait
}

// batcher collects the writes that arrive while a transaction is under way into the
// next one, since the table takes only several hundred transactions a second.
type batcher struct {
	table *table.Table

	mu      sync.Mutex
	pending []pendingWrite // in the order of arrival
	running bool           // a goroutine in run takes batches
}

// commit makes one conditional write; see table.Table.Commit for its errors.
// The write goes on in the background if ctx ends first.
func (b *batcher) commit(ctx context.Context, condition table.Condition, write table.Write) error {
	s := pendingWrite{condition: condition, write: write, done: make(chan error, 1)}
	b.add(s)
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add appends a write to the pending ones, and starts run if it does not run.
func (b *batcher) add(s pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, s)
	if !b.running {
		b.running = true
		go b.run()
	}
}

// run writes batches until nothing is pending.
func (b *batcher) run() {
	for batch := b.nextBatch(); batch != nil; batch = b.nextBatch() {
		b.write(batch)
	}
}

// nextBatch takes up to maxBatch pending writes. If there are none, it returns nil and records that run ends.
func (b *batcher) nextBatch() []pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatch)
	if n == 0 {
		b.running = false
		return nil
	}
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// write commits a batch in one transaction. If a condition fails, it tries the halves
// separately, until the failing write is alone. Any other error is the result of all writes of the batch.
func (b *batcher) write(batch []pendingWrite) {
	var transaction table.Transaction
	for _, s := range batch {
		transaction.Conditions = append(transaction.Conditions, s.condition)
		transaction.Writes = append(transaction.Writes, s.write)
	}
	err := b.table.Commit(context.Background(), transaction)
	if errors.Is(err, jujuerrors.AlreadyExists) && len(batch) > 1 {
		half := len(batch) / 2
		b.write(batch[:half])
		b.write(batch[half:])
		return
	}
	for _, s := range batch {
		s.done <- err
	}
}
