// Package digest identifies requests by their content.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// size is the length of a digest in bytes. A caller can't find another request with
// the same digest, which matters only within its own account.
const size = 16

// Digest is the same for all copies of a request, whatever their ids, and differs
// between any two client accounts. It holds nothing of the body.
type Digest [size]byte

// Of returns the digest of a request: its client account, which may be empty, its host,
// its path with the query, and its body.
func Of(account, host, target string, body []byte) Digest {
	h := sha256.New()
	for _, s := range []string{account, host, target} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = h.Write(n[:]) // A hash takes all that is written.
		_, _ = h.Write([]byte(s))
	}
	_, _ = h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Parse reads what String or Bytes wrote.
func Parse(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, fmt.Errorf("digest: parse: %w", err)
	}
	d, ok := From(raw)
	if !ok {
		return d, fmt.Errorf("digest: parse: %d bytes, expected %d", len(raw), size)
	}
	return d, nil
}

// From makes a digest of its bytes; ok is false for a wrong number of them.
func From(raw []byte) (d Digest, ok bool) {
	if len(raw) != size {
		return d, false
	}
	return Digest(raw), true
}

// String is the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
