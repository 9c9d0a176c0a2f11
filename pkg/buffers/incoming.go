package buffers

// Incoming is what one exchange holds of an answer while it can't be passed on: its head, or an event without its end.
type Incoming struct {
	held int // bytes
}

// HoldIncoming counts n more bytes of an exchange.
func (a *Account) HoldIncoming(in *Incoming, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	in.held += n
	a.incoming += n
}

// ReleaseIncoming takes back n bytes that HoldIncoming counted.
func (a *Account) ReleaseIncoming(in *Incoming, n int) {
	if n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	in.held -= n
	a.incoming -= n
}

// DropIncoming takes back all that HoldIncoming counted for an exchange.
func (a *Account) DropIncoming(in *Incoming) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incoming -= in.held
	in.held = 0
}
