package gate

import (
	"bytes"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"azurelane/core/buffer"
)

var (
	errNoRoom      = errors.New("gate: no memory for the rest")
	errAnswerLarge = errors.New("gate: answer too large")
)

const (
	// Pieces begin with minPiece, in bytes, and double up to maxPiece. What has a stated length of up to
	// maxPreallocation is a single piece: the length may be wrong.
	minPiece         = 4 << 10
	maxPiece         = 256 << 10
	maxPreallocation = 1 << 20
)

// held is the part of an answer or of a request's body that is in memory. Its pieces never move, so that a long one
// takes no more memory than its size.
type held struct {
	buffer *buffer.Buffer
	kind   buffer.Kind
	await  func(size, by int64) bool // Waits for memory; nil for no wait.
	limit  int64                     // Most bytes; zero for no limit.
	size   int64
	taken  int64 // From the buffer.
	pieces [][]byte
}

// read reads all. It returns errNoRoom, and keeps what has come, if the buffer has no room for more.
func (a *held) read(r io.Reader, length int64) error {
	if length == 0 {
		return nil
	}
	next := int64(minPiece)
	if length > 0 && length <= maxPreallocation {
		next = length + 1 // The end may come with a read after the last byte.
	}
	for {
		piece := a.allocate(next)
		if piece == nil {
			return errNoRoom
		}
		n, err := a.fill(piece, r)
		a.pieces = append(a.pieces, piece[:n])
		next = min(2*int64(len(piece)), maxPiece)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("gate: read: %w", err)
		}
	}
}

// allocate returns a piece, which is smaller than asked for or nil if there is no room.
func (a *held) allocate(size int64) []byte {
	switch {
	case a.buffer.Grow(a.kind, a.taken, size):
	case a.await != nil:
		if !a.await(a.taken, size) {
			return nil
		}
	case size > minPiece && a.buffer.Grow(a.kind, a.taken, minPiece):
		size = minPiece
	default:
		return nil
	}
	a.taken += size
	return make([]byte, size)
}

// fill reads until a piece is full, and returns how much has come.
func (a *held) fill(piece []byte, r io.Reader) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = r.Read(piece[n:])
		n += more
		if a.size += int64(more); a.limit > 0 && a.size > a.limit {
			err = errAnswerLarge
		}
	}
	return n, err
}

// reader returns what has come.
func (a *held) reader() io.Reader {
	if len(a.pieces) == 1 {
		return bytes.NewReader(a.pieces[0]) // net/http sends it together with the header.
	}
	all := make([]io.Reader, len(a.pieces))
	for n, p := range a.pieces {
		all[n] = bytes.NewReader(p)
	}
	return io.MultiReader(all...)
}

// free gives the memory back.
func (a *held) free() {
	a.buffer.Free(a.kind, a.taken)
	a.taken, a.pieces = 0, nil
}
