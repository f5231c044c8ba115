package control

import (
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/difference"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// pieceBytes is the size of a piece of a transfer. What shares a narrow link with a transfer
	// waits for a piece at most.
	pieceBytes = 8 << 10
	// archiveBytes bounds the bodies of earlier documents that are kept as bases of differences.
	archiveBytes = 8 << 20
	// maxTransfers bounds the transfers that are kept for instances that are receiving them.
	maxTransfers = 32
)

// errNoDocument is returned while a replica has no document.
var errNoDocument = errors.New("this replica has no document yet")

// transfer is a document as it is sent to the instances that hold another one, or none.
type transfer struct {
	number uint64
	base   uint64 // 0 without a base

	mu           sync.Mutex // guards the rest; held while the transfer is encoded, so that this happens once
	from, target *wire.Document
	digest       [sha256.Size]byte
	data         []byte
}

// encoded returns what is sent, and the digest of the document.
func (t *transfer) encoded() ([]byte, []byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.data == nil {
		data, err := difference.Make(t.from.GetBody(), t.target.GetBody())
		if err != nil {
			return nil, nil, err
		}
		t.data, t.digest = data, sha256.Sum256(t.target.GetBody())
		t.from, t.target = nil, nil
	}
	return t.data, t.digest[:], nil
}

// archive holds the newest document, some earlier ones, and their transfers. It is safe for
// concurrent use.
type archive struct {
	mu        sync.Mutex // guards the rest; never held while another lock is taken
	documents []*wire.Document
	transfers []*transfer // the one used last is the last
}

// add makes a document the newest one. Its number must be higher than all others.
func (a *archive) add(d *wire.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.documents = append(a.documents, d)
	size := 0
	for i := len(a.documents) - 2; i >= 0; i-- {
		if size += len(a.documents[i].GetBody()); size > archiveBytes {
			a.documents = slices.Delete(a.documents, 0, i+1)
			break
		}
	}
}

// piece returns a piece of the requested transfer. If the transfer cannot go on, because this
// replica no longer has it, it returns the first piece of that of the newest document.
func (a *archive) piece(r *wire.FetchRequest) (*wire.FetchResponse, error) {
	t := a.transfer(r.GetBase(), r.GetNumber())
	if t == nil {
		return nil, errNoDocument
	}
	data, digest, err := t.encoded()
	if err != nil {
		return nil, err
	}
	offset := r.GetOffset()
	if t.number != r.GetNumber() || t.base != r.GetBase() || offset > uint64(len(data)) {
		offset = 0
	}
	rest := data[offset:]
	return &wire.FetchResponse{
		Number: t.number, Base: t.base, Digest: digest, TransferBytes: uint64(len(data)),
		Offset: offset, Data: rest[:min(pieceBytes, len(rest))],
	}, nil
}

// document returns a document by its number, or nil.
func (a *archive) document(number uint64) *wire.Document {
	for _, d := range a.documents {
		if d.GetNumber() == number {
			return d
		}
	}
	return nil
}

// transfer returns the transfer of a numbered document for the instances that hold a base. If that is
// not held, it returns the transfer of the newest; without any document, nil.
func (a *archive) transfer(base, number uint64) *transfer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.used(base, number); t != nil {
		return t
	}
	if len(a.documents) == 0 {
		return nil
	}
	from, target := a.document(base), a.document(number)
	if target == nil {
		target = a.documents[len(a.documents)-1]
	}
	if t := a.used(from.GetNumber(), target.GetNumber()); t != nil {
		return t
	}
	t := &transfer{number: target.GetNumber(), base: from.GetNumber(), from: from, target: target}
	a.transfers = append(a.transfers, t)
	if len(a.transfers) > maxTransfers {
		a.transfers = slices.Delete(a.transfers, 0, 1)
	}
	return t
}

// used returns a transfer that is kept, or nil. It is the last one to be dropped then.
func (a *archive) used(base, number uint64) *transfer {
	i := slices.IndexFunc(a.transfers, func(t *transfer) bool { return t.base == base && t.number == number })
	if i < 0 {
		return nil
	}
	t := a.transfers[i]
	a.transfers = append(slices.Delete(a.transfers, i, i+1), t)
	return t
}
