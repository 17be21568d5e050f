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

// A frame holds the data of one write: a header of four 32-bit little-endian numbers (payload length and
// flag, frame number, CRC-32C of payload and padding, CRC-32C of the other three), the payload, and
// padding of 1 to 16 marker bytes up to a multiple of 16. A header therefore never crosses a sector, and
// the last bytes of a frame are never zero.
const (
	headSize = 16
	sector   = 512 // Bytes that a disk writes atomically.
	padMark  = 0xA5
	zeroFlag = 1 << 31 // The payload contains at least as many zero bytes as a sector.
	maxFrame = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	zeros      = make([]byte, sector)

	// errTorn is returned for a frame at the end whose write was interrupted by a crash.
	errTorn = errors.New("frame cut short")
)

func encode(seq uint32, recs []*wire.Record) ([]byte, error) {
	b := &wire.Batch{Records: recs}
	// The frame is built in place: records of many megabytes would otherwise be copied twice.
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(make([]byte, headSize, proto.Size(b)+2*headSize), b)
	if err != nil {
		return nil, fmt.Errorf("disk: marshal records: %w", err)
	}
	payload := frame[headSize:]
	if len(payload) > maxFrame {
		return nil, fmt.Errorf("disk: %d bytes in one write: expected %d at most", len(payload), maxFrame)
	}
	length := uint32(len(payload)) //nolint:gosec // Bounded above.
	if bytes.Contains(payload, zeros) {
		length |= zeroFlag
	}
	frame = append(frame, bytes.Repeat([]byte{padMark}, headSize-len(payload)%headSize)...)
	binary.LittleEndian.PutUint32(frame, length)
	binary.LittleEndian.PutUint32(frame[4:], seq)
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[headSize:], castagnoli))
	binary.LittleEndian.PutUint32(frame[12:], crc32.Checksum(frame[:12], castagnoli))
	return frame, nil
}

// next returns the payload and the size of the frame at off. The error is errTorn if the frame is the last
// one and its write was interrupted; any other error is damage.
//
// An interrupted write leaves the file too short for the frame, or leaves complete sectors unwritten, which
// read as zero. Everything else is damage, also a single flipped bit in the last acknowledged frame:
// dropping that as torn would lose data that this replica has acknowledged.
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
		return nil, 0, errTorn // No later frame fits in so few bytes.
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

// header reads the header of a frame and reports whether its checksum is correct.
func header(b []byte) (length int, flagged bool, seq uint32, ok bool) {
	n := binary.LittleEndian.Uint32(b)
	ok = crc32.Checksum(b[:12], castagnoli) == binary.LittleEndian.Uint32(b[12:])
	return int(n &^ zeroFlag), n&zeroFlag != 0, binary.LittleEndian.Uint32(b[4:]), ok
}

// holed reports whether a sector's part of the bytes from lo to hi was never written. A written part is
// never all zero: the first contains a header, the last a marker, and payloads with as many zeros as a
// sector are flagged.
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

// unwritten distinguishes a frame that was never completely written from one that was lost later: a frame
// after it is written only once this one is synced.
func unwritten(rest []byte, seq uint32) error {
	for i := headSize; i+headSize <= len(rest); i += headSize {
		if _, _, got, ok := header(rest[i:]); ok && got > seq {
			return fmt.Errorf("frame %d is gone, but frame %d is there", seq, got)
		}
	}
	return errTorn
}
