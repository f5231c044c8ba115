// Package difference computes what turns one sequence of bytes into another, so that a change of a
// large document costs what changed. It knows nothing of the format of the documents.
package difference

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// blockBytes is the length of the shortest range that is looked for in the base.
	blockBytes = 32
	// overheadFactor bounds the encoding of a difference, as a multiple of the bytes that it makes.
	overheadFactor = 2
	// overheadBytes is added to that bound, for small differences.
	overheadBytes = 1 << 10
)

// ErrMalformed is returned for a difference that cannot be applied to the base.
var ErrMalformed = errors.New("difference does not fit the base")

// Make returns the compressed difference that turns base into target. The result depends on its
// arguments only.
func Make(base, target []byte) ([]byte, error) {
	d := &wire.Difference{Edits: edits(base, target)}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "cannot encode difference")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "cannot compress difference")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "cannot compress difference")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "cannot compress difference")
	}
	return out.Bytes(), nil
}

// Apply returns the target of a difference that was made for the base. It returns ErrMalformed for
// anything else, and for a target of more than maxBytes.
func Apply(base, compressed []byte, maxBytes int) ([]byte, error) {
	limit := int64(overheadFactor*maxBytes + overheadBytes)
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), limit+1))
	if err != nil || int64(len(data)) > limit {
		return nil, errors.Wrap(ErrMalformed, "cannot decompress")
	}
	d := &wire.Difference{}
	if err := proto.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	size, err := targetBytes(d, len(base), maxBytes)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, size)
	for _, e := range d.GetEdits() {
		out = append(out, base[e.GetCopyFrom():e.GetCopyFrom()+e.GetCopyBytes()]...)
		out = append(out, e.GetInsert()...)
	}
	return out, nil
}

// targetBytes checks the edits and returns the size of what they make.
func targetBytes(d *wire.Difference, baseBytes, maxBytes int) (int, error) {
	size := 0
	for _, e := range d.GetEdits() {
		from, count := e.GetCopyFrom(), e.GetCopyBytes()
		if from > uint64(baseBytes) || count > uint64(baseBytes)-from {
			return 0, errors.Wrap(ErrMalformed, "range beyond the base")
		}
		if size += int(count) + len(e.GetInsert()); size > maxBytes {
			return 0, errors.Wrap(ErrMalformed, "too large")
		}
	}
	return size, nil
}

// edits returns the edits that turn base into target. What both have in common at their
// beginning and end is not searched.
func edits(base, target []byte) []*wire.DifferenceEdit {
	prefix := commonPrefix(base, target)
	suffix := commonSuffix(base[prefix:], target[prefix:])
	var out []*wire.DifferenceEdit
	if prefix > 0 {
		out = append(out, &wire.DifferenceEdit{CopyBytes: uint64(prefix)})
	}
	s := newSearch(base, prefix, len(base)-suffix)
	out = append(out, s.edits(target[prefix:len(target)-suffix])...)
	if suffix > 0 {
		out = append(out, &wire.DifferenceEdit{CopyFrom: uint64(len(base) - suffix), CopyBytes: uint64(suffix)})
	}
	return out
}

func commonPrefix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffix(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}
