package table

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	jujuerrors "github.com/juju/errors"

	"quaydock/pkg/clock"
	"quaydock/pkg/declaration"
	"quaydock/pkg/ids"
)

// Keys of the rows of the configuration.
const (
	KeyHead      Key = "config/head"    // names the newest revision
	prefixSet    Key = "config/set/"    // precedes the revision of a complete set (snapshot)
	prefixChange Key = "config/change/" // precedes the revision that a change made
)

// snapshotEvery is the number of changes between two snapshots: a new process reads at most so many.
const snapshotEvery = 50

// Head is the value of the row that names the newest revision.
type Head struct {
	Revision declaration.Revision `json:"revision"`
	// Snapshot is the newest revision whose complete set has a row.
	Snapshot declaration.Revision `json:"snapshot"`
}

// keySet and keyChange return the keys of the complete set at a revision, and of the change that made the revision.
func keySet(revision declaration.Revision) Key    { return numbered(prefixSet, revision) }
func keyChange(revision declaration.Revision) Key { return numbered(prefixChange, revision) }
func numbered(p Key, r declaration.Revision) Key  { return p + Key(strconv.FormatInt(int64(r), 10)) }

// FirstRevision returns the transaction that writes the first configuration into an empty table. Its condition fails if
// there is a configuration.
func FirstRevision(set declaration.Set) (Transaction, error) {
	const first = 1
	t := Transaction{Conditions: []Condition{{Key: KeyHead}}}
	err := t.put(keySet(first), set)
	if err == nil {
		err = t.put(KeyHead, Head{Revision: first, Snapshot: first})
	}
	return t, err
}

// put adds the write of a value as JSON.
func (t *Transaction) put(key Key, value any) error {
	document, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encoding value of row %s: %w", key, err)
	}
	t.Writes = append(t.Writes, Write{Key: key, Value: document})
	return nil
}

// State is a configuration as read from the table.
type State struct {
	Head    Head
	Set     declaration.Set // at Head.Revision
	version Version         // of the row of the head, by which Publish detects other changes
}

// Configuration reads the newest configuration.
func (t *Table) Configuration(ctx context.Context) (State, error) {
	row, err := t.Read(ctx, KeyHead)
	if err != nil {
		return State{}, fmt.Errorf("reading configuration head: %w", err)
	}
	s := State{version: row.Version}
	if err := json.Unmarshal(row.Value, &s.Head); err != nil {
		return State{}, fmt.Errorf("reading configuration head: %w", err)
	}
	if err := t.readValue(ctx, keySet(s.Head.Snapshot), &s.Set); err != nil {
		return State{}, fmt.Errorf("reading configuration snapshot %d: %w", s.Head.Snapshot, err)
	}
	for r := s.Head.Snapshot + 1; r <= s.Head.Revision; r++ {
		change, err := t.Change(ctx, r)
		if err != nil {
			return State{}, err
		}
		s.Set = change.Apply(s.Set)
	}
	return s, nil
}

// Change reads the change that made a revision.
func (t *Table) Change(ctx context.Context, revision declaration.Revision) (declaration.Change, error) {
	var change declaration.Change
	if err := t.readValue(ctx, keyChange(revision), &change); err != nil {
		return declaration.Change{}, fmt.Errorf("reading configuration change %d: %w", revision, err)
	}
	return change, nil
}

// ConflictError says that another change was published since the state was read.
type ConflictError struct {
	Change declaration.Change
}

// Error describes the other change.
func (e *ConflictError) Error() string {
	c := e.Change
	return fmt.Sprintf("revision %d was made meanwhile by %s: %s", c.Revision, c.Who, c.Why)
}

// publishBackoff is the pause between two tries to publish a change.
const publishBackoff = 100 * clock.Millisecond

// Publish commits a change to the state that it was planned on. It tries until ctx ends, and resolves
// lost answers by reading the change back: it returns nil only if the change is in the table, and a
// ConflictError only if another change has its revision. After any other error the change may be in the
// table or not.
func (t *Table) Publish(ctx context.Context, base State, change declaration.Change) (declaration.Revision, error) {
	change.Revision = base.Head.Revision + 1
	change.ID = string(ids.NewRequest())
	transaction, err := publication(base, change)
	if err != nil {
		return 0, err
	}
	for {
		err := t.Commit(ctx, transaction)
		if err == nil {
			return change.Revision, nil
		}
		made, readErr := t.Change(ctx, change.Revision)
		switch {
		case readErr == nil && made.ID == change.ID:
			return change.Revision, nil
		case readErr == nil:
			return 0, &ConflictError{Change: made}
		case ctx.Err() != nil:
			return 0, fmt.Errorf("publishing configuration change: %w", errors.Join(jujuerrors.Timeout, err))
		}
		clock.Pause(ctx, publishBackoff)
	}
}

// publication returns the transaction of a change, conditional on the version of the head. It also writes a snapshot if
// the last one is snapshotEvery changes old, and returns an error if the resulting set is invalid.
func publication(base State, change declaration.Change) (Transaction, error) {
	made := change.Apply(base.Set)
	if err := made.Check(); err != nil {
		return Transaction{}, err
	}
	t := Transaction{Conditions: []Condition{{Key: KeyHead, Version: base.version}}}
	head := Head{Revision: change.Revision, Snapshot: base.Head.Snapshot}
	err := t.put(keyChange(change.Revision), change)
	if err == nil && change.Revision-head.Snapshot >= snapshotEvery {
		head.Snapshot = change.Revision
		err = t.put(keySet(head.Snapshot), made)
	}
	if err == nil {
		err = t.put(KeyHead, head)
	}
	return t, err
}
