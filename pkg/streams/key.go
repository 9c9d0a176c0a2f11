package streams

import (
	"crypto/sha256"

	"quaydock/pkg/ids"
)

// Key identifies a stream by its client account and the caller's request that brought its first event.
type Key [16]byte

// NewKey returns the key of a stream. Requests of different accounts never have the same one, whatever their ids.
func NewKey(account ids.Account, request string) Key {
	sum := sha256.Sum256([]byte(string(account) + "\x00" + request))
	return Key(sum[:len(Key{})])
}

// shard returns the shard by which entries are ranked as holders of copies of a stream's origin.
func (k Key) shard() string { return "streams/" + string(k[:]) }
