package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"azurelane/core/wire"
)

// A frame is what one write put into the log: a header of four numbers, each
// 4 bytes little endian (payload length and flag, frame number, CRC-32C of
// payload and padding, CRC-32C of the former three), the payload, and padding
// of 1 to 16 marks up to a multiple of 16. So a header never crosses a sector,
// and the last bytes of a frame are never zero.
const (
	headSize = 16
	sector   = 512 // Bytes that a disk writes whole or not at all.
	padMark  = 0xA5
	zeroFlag = 1 << 31 // The payload itself holds as many zero bytes as a sector.
	maxFrame = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	zeros      = make([]byte, sector)

	// errTorn marks a frame at the end whose write was cut short by a crash.
	errTorn = errors.New("frame cut short")
)

func encode(seq uint32, recs []*wire.Record) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Batch{Records: recs})
	if err != nil {
		return nil, fmt.Errorf("disk: marshal records: %w", err)
	}
	if len(payload) > maxFrame {
		return nil, fmt.Errorf("disk: %d bytes in one write: expected %d at most", len(payload), maxFrame)
	}
	length := uint32(len(payload)) //nolint:gosec // Bounded above.
	if bytes.Contains(payload, zeros) {
		length |= zeroFlag
	}
	body := append(payload, bytes.Repeat([]byte{padMark}, headSize-len(payload)%headSize)...)
	head := binary.LittleEndian.AppendUint32(make([]byte, 0, headSize+len(body)), length)
	head = binary.LittleEndian.AppendUint32(head, seq)
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(body, castagnoli))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
	return append(head, body...), nil
}

// next returns the payload of the frame at off and the bytes it takes. The
// error is errTorn when the frame is the end of the log and its write was cut
// short; any other error is damage.
//
// A write cut short leaves the file too short for the frame, or leaves whole
// sectors unwritten, which read as zero. Everything else, a single flipped bit
// in the last acknowledged frame too, is damage: dropping it as torn would
// silently take back what this replica has acknowledged.
func next(data []byte, off int, seq uint32) ([]byte, int, error) {
	rest := data[off:]
	if len(rest) < headSize {
		return nil, 0, errTorn
	}
	if bytes.Equal(rest[:headSize], zeros[:headSize]) {
		return nil, 0, unwritten(rest, seq)
	}
	length, flagged, got, ok := header(rest)
	switch {
	case !ok:
		return nil, 0, errors.New("header checksum differs")
	case got != seq:
		return nil, 0, fmt.Errorf("frame %d where %d belongs", got, seq)
	case length > len(rest)-headSize:
		return nil, 0, errTorn // No later frame can be in so few bytes.
	}
	size := headSize + length + headSize - length%headSize
	if size > len(rest) {
		return nil, 0, errTorn
	}
	if crc32.Checksum(rest[headSize:size], castagnoli) == binary.LittleEndian.Uint32(rest[8:]) {
		return rest[headSize : headSize+length], size, nil
	}
	if !flagged && holed(data, off, off+size) {
		return nil, 0, unwritten(rest, seq)
	}
	return nil, 0, errors.New("checksum differs")
}

// header reads the numbers of a frame and whether their checksum fits.
func header(b []byte) (length int, flagged bool, seq uint32, ok bool) {
	n := binary.LittleEndian.Uint32(b)
	ok = crc32.Checksum(b[:12], castagnoli) == binary.LittleEndian.Uint32(b[12:])
	return int(n &^ zeroFlag), n&zeroFlag != 0, binary.LittleEndian.Uint32(b[4:]), ok
}

// holed reports whether a sector's part of the bytes from lo to hi was never
// written. A written part is never all zero: the first holds a header, the
// last a mark, and payloads with as many zeros as a sector are flagged.
func holed(data []byte, lo, hi int) bool {
	for lo < hi {
		end := min(hi, (lo/sector+1)*sector)
		if bytes.Equal(data[lo:end], zeros[:end-lo]) {
			return true
		}
		lo = end
	}
	return false
}

// unwritten tells a frame that was never wholly written from one that was lost
// later: a frame after it is only written once this one was synced.
func unwritten(rest []byte, seq uint32) error {
	for i := headSize; i+headSize <= len(rest); i += headSize {
		if _, _, got, ok := header(rest[i:]); ok && got > seq {
			return fmt.Errorf("frame %d is gone, but frame %d is there", seq, got)
		}
	}
	return errTorn
}
