// Package digest identifies requests by their content.
package digest

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// size is the length of a digest in bytes. Finding two requests with the same digest takes 2^64
// attempts, and would affect only the account that sends them.
const size = 16

// Digest is equal for all copies of a request, whatever their IDs, and differs between client
// accounts. It does not reveal the body.
type Digest [size]byte

// Of returns the digest of a request. The account may be empty; the target is the path with the
// query. The body may come in pieces.
func Of(account, host, target string, body ...[]byte) Digest {
	h := sha256.New()
	for _, s := range []string{account, host, target} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		_, _ = h.Write(n[:]) // A hash never returns an error.
		_, _ = h.Write([]byte(s))
	}
	for _, piece := range body {
		_, _ = h.Write(piece)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Parse parses a digest in hexadecimal, as String returns it.
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

// From converts bytes to a digest. It returns false if their number is wrong.
func From(raw []byte) (d Digest, ok bool) {
	if len(raw) != size {
		return d, false
	}
	return Digest(raw), true
}

// Compare orders digests by their bytes.
func (d Digest) Compare(other Digest) int { return bytes.Compare(d[:], other[:]) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }
