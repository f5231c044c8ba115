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

// ErrDamaged is returned for data that is corrupt other than by a torn write at the end
// of the log. The replica must be replaced: its log may lack records that it has
// acknowledged.
var ErrDamaged = errors.New("stored data is damaged; empty this data folder and replace the replica (vanillaward replica replace)")

func appendRecord(buf []byte, m proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode record")
	}
	body := buf[start+headerBytes:]
	binary.BigEndian.PutUint32(buf[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(buf[start+4:], checksum(buf[start:start+4], body))
	return buf, nil
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, body)
}

// parseRecord returns the message bytes of the record at the start of data. complete is
// false if data ends within the record or its length exceeds maxRecordBytes; valid is true
// if the checksum matches.
func parseRecord(data []byte) (message []byte, complete, valid bool) {
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

// readRecords returns the records of a log file and the length in bytes of its valid
// part. Bytes after it are the remains of a write that was never synced.
func readRecords(data []byte) ([]*wire.LogRecord, int64, error) {
	var out []*wire.LogRecord
	offset := 0
	for offset < len(data) {
		message, complete, valid := parseRecord(data[offset:])
		if !valid {
			if complete && !allZero(data[offset:]) || containsRecord(data[offset+1:]) {
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

// containsRecord reports whether a valid, non-empty record starts anywhere in data,
// which distinguishes damage in the middle from a torn tail.
func containsRecord(data []byte) bool {
	for i := range data {
		if message, _, valid := parseRecord(data[i:]); valid && len(message) > 0 {
			return true
		}
	}
	return false
}
