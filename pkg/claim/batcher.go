package claim

import (
	"context"
	"errors"
	"sync"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/table"
)

// maxBatch bounds the claims of one transaction.
const maxBatch = 128

// step is one conditional write.
type step struct {
	condition table.Condition
	write     table.Write
	done      chan error
}

// batcher puts the writes that come while a transaction is under way into the
// next one, since the table takes only several hundred transactions a second.
type batcher struct {
	table *table.Table

	mu      sync.Mutex
	waiting []step
	running bool
}

// commit makes one conditional write; see table.Table.Commit for its errors.
// It goes on in the background if ctx ends first.
func (b *batcher) commit(ctx context.Context, condition table.Condition, write table.Write) error {
	s := step{condition: condition, write: write, done: make(chan error, 1)}
	b.add(s)
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batcher) add(s step) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, s)
	if !b.running {
		b.running = true
		go b.run()
	}
}

func (b *batcher) run() {
	for batch := b.take(); batch != nil; batch = b.take() {
		b.write(batch)
	}
}

func (b *batcher) take() []step {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.waiting), maxBatch)
	if n == 0 {
		b.running = false
		return nil
	}
	batch := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	return batch
}

// write makes a batch's transaction. If a condition fails, the halves are tried
// apart until the one that is at fault stands alone.
func (b *batcher) write(batch []step) {
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
