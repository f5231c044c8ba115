package storage

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

// A record is a length, a checksum and a protobuf message:
//
//	4 bytes  length of the message, big endian
//	4 bytes  CRC-32C of the length and the message, big endian
//	n bytes  the message
const (
	headerBytes    = 8
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is returned for a file whose middle is corrupt. The replica must be
// replaced: its log may lack records that it has acknowledged.
var ErrDamaged = errors.New("stored data is damaged; empty this data folder and replace the replica (vanillaward replica replace)")

func appendRecord(to []byte, m proto.Message) ([]byte, error) {
	start := len(to)
	to = append(to, make([]byte, headerBytes)...)
	to, err := proto.MarshalOptions{}.MarshalAppend(to, m)
	if err != nil {
		return nil, errors.Wrap(err, "record cannot be encoded")
	}
	body := to[start+headerBytes:]
	binary.BigEndian.PutUint32(to[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(to[start+4:], checksum(to[start:start+4], body))
	return to, nil
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// body returns the message bytes of the record at the start of data. Complete is
// false when data ends within the record.
func body(data []byte) (message []byte, complete, valid bool) {
	if len(data) < headerBytes {
		return nil, false, false
	}
	n := int64(binary.BigEndian.Uint32(data))
	if n > maxRecordBytes || int64(len(data)) < headerBytes+n {
		return nil, false, false
	}
	message = data[headerBytes : headerBytes+n]
	return message, true, checksum(data[:4], message) == binary.BigEndian.Uint32(data[4:])
}

// readRecords returns the records of a log file and the length of the part that
// is whole. Bytes after it are the remains of a write that was never synced.
func readRecords(data []byte) ([]*wire.LogRecord, int64, error) {
	var out []*wire.LogRecord
	offset := 0
	for offset < len(data) {
		message, complete, valid := body(data[offset:])
		if !valid {
			if complete && !allZero(data[offset:]) || holdsRecord(data[offset+1:]) {
				return nil, 0, errors.Wrapf(ErrDamaged, "record at byte %d", offset)
			}
			break
		}
		record := &wire.LogRecord{}
		if err := proto.Unmarshal(message, record); err != nil {
			return nil, 0, errors.Wrapf(ErrDamaged, "record at byte %d: %v", offset, err)
		}
		out = append(out, record)
		offset += headerBytes + len(message)
	}
	return out, int64(offset), nil
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// holdsRecord reports whether a valid, non-empty record starts anywhere in data,
// which tells damage in the middle from a torn tail.
func holdsRecord(data []byte) bool {
	for i := range data {
		if message, _, valid := body(data[i:]); valid && len(message) > 0 {
			return true
		}
	}
	return false
}
