package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"strings"
	"sync"

	"quaydock/pkg/table"
)

// Table simulates the platform's transactional table. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[table.Key]table.Row
	down bool // calls are broken off without an answer
	// While lagging is set, reads return the saved rows.
	lagging bool
	saved   map[table.Key]table.Row // the rows at the last SaveState
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[table.Key]table.Row)}
}

// Handler returns the table's HTTP interface.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+table.PathRows, t.read)
	mux.HandleFunc("POST "+table.PathTransactions, t.commit)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.isDown() {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// SetDown makes the table unreachable, or reachable again.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// SaveState saves the current rows for ServeSaved.
func (t *Table) SaveState() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saved = maps.Clone(t.rows)
}

// ServeSaved makes reads return the saved rows, as a lagging replica
// does, or the current rows again.
func (t *Table) ServeSaved(lagging bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lagging = lagging
}

func (t *Table) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// read answers with a row, or with 404 if there is none.
func (t *Table) read(w http.ResponseWriter, r *http.Request) {
	key := table.Key(strings.TrimPrefix(r.URL.Path, table.PathRows))
	t.mu.Lock()
	rows := t.rows
	if t.lagging {
		rows = t.saved
	}
	row, found := rows[key]
	t.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(row)
}

// commit commits the transaction in the body of a call, and answers 409 if a condition does not hold.
func (t *Table) commit(w http.ResponseWriter, r *http.Request) {
	var transaction table.Transaction
	if err := json.NewDecoder(r.Body).Decode(&transaction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !t.Commit(transaction) {
		w.WriteHeader(http.StatusConflict)
	}
}

// Commit applies a transaction if all of its conditions hold, and reports whether they did. A row that does not exist
// has version 0.
func (t *Table) Commit(transaction table.Transaction) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range transaction.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	for _, write := range transaction.Writes {
		version := t.rows[write.Key].Version + 1
		t.rows[write.Key] = table.Row{Key: write.Key, Version: version, Value: write.Value}
	}
	return true
}
