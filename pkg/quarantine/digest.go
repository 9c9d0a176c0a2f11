// Package quarantine prevents requests under which the processes of their targets end from running again and again. It
// identifies a request by its content, since each try has an ID of its own.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/juju/errors"

	"quaydock/pkg/ids"
)

// digestBytes is short enough for datagrams, and long enough to make finding two requests with the same digest
// infeasible.
const digestBytes = 16

// Digest identifies a client account, a path with its query, and a body; or a part of the prompts of a service.
type Digest [digestBytes]byte

// Identify returns the digest of a request. The account is empty on routes without keys.
func Identify(account ids.Account, path string, body []byte) Digest {
	return digestOf([]byte(account), []byte(path), body)
}

// IdentifyPart returns the digest of a part of the prompts of a service. It differs from that of any request, which has
// one field less.
func IdentifyPart(service ids.Service, part ids.PromptPart) Digest {
	return digestOf([]byte(service), binary.BigEndian.AppendUint64(nil, uint64(part)), nil, nil)
}

// digestOf returns the digest of a list of fields.
func digestOf(list ...[]byte) Digest {
	h := sha256.New()
	for _, field := range list {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash never returns an error
		_, _ = h.Write(field)
	}
	var sum [sha256.Size]byte
	return Digest(h.Sum(sum[:0])[:digestBytes])
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes the digest for rows of the store.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes what MarshalText returns.
func (d *Digest) UnmarshalText(text []byte) error {
	read, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = read
	return nil
}

// ParseDigest parses a digest in hexadecimal. Text of another length or with other characters gives an error of kind
// errors.NotValid.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes {
		return Digest{}, fmt.Errorf("digest of %d bytes: %w", len(text), errors.NotValid)
	}
	return Digest(raw), nil
}
