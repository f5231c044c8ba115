package follow

import (
	"bytes"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/difference"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// fetchSilence is how long a connection may carry nothing while a piece of a document is awaited.
	fetchSilence = time.Second
	// maxPieceTime bounds the time for one piece over a connection that is slow.
	maxPieceTime = 30 * time.Second
	// maxFetchDelay bounds the mean delay after failures in a row, so that a configuration is in force in time.
	maxFetchDelay = 400 * time.Millisecond
)

var (
	// errIncomplete is returned when a replica has no piece at the end of what was received.
	errIncomplete = errors.New("transfer does not go on")
	// errDigest is returned for a transfer that does not result in the document that was sent.
	errDigest = errors.New("document does not match its digest")
	// errOlder is returned for a document that is not newer than the one in force.
	errOlder = errors.New("replica has no newer document any more")
)

// documents is what the instance has received of documents. The goroutine of fetchLoop owns current and
// whole.
type documents struct {
	news    chan struct{} // has an element after a replica named a document
	current *incoming
	whole   bool // the next transfer must not refer to the document held

	mu       sync.Mutex // guards the rest; held while a document is installed
	held     *wire.Document
	rejected uint64 // number of the last document that could not be put in force
}

// incoming is a transfer of which a part was received.
type incoming struct {
	number  uint64
	base    uint64
	digest  []byte
	bytes   uint64 // of the whole transfer
	data    []byte
	begunAt time.Duration
}

// noteDocument records which document a replica has. It is called with the follower's lock held.
func (f *Follower) noteDocument(address string, number uint64) {
	if f.heard[address] == number {
		return
	}
	f.heard[address] = number
	select {
	case f.documents.news <- struct{}{}:
	default: // it has one
	}
}

// fetchLoop fetches each document that is newer than the one in force, from one replica, until the
// context ends. After a failure it goes on at another one.
func (f *Follower) fetchLoop(ctx context.Context) {
	failed := ""  // the replica that failed last
	failures := 0 // in a row
	for ctx.Err() == nil {
		address := f.source(failed)
		if address == "" {
			select {
			case <-ctx.Done():
			case <-f.documents.news:
			}
			continue
		}
		failed = ""
		if err := f.fetch(ctx, address); err != nil && ctx.Err() == nil {
			failed = address
			f.log.Info("cannot fetch document", "replica", address, "reason", err.Error(), "number", f.sink.Number(), "received", f.documents.current.received())
			timer.Sleep(ctx, fetchDelay(failures, rand.Float64()))
			failures++
		} else {
			failures = 0
		}
	}
}

// fetchDelay returns the delay before a transfer goes on at another replica, after a number of earlier failures in a row.
// Random is from 0 to 1.
func fetchDelay(failures int, random float64) time.Duration {
	mean := min(maxFetchDelay, retryDelay<<min(failures, 10))
	return time.Duration((0.5 + random) * float64(mean))
}

// source returns the address of a replica that has a newer document than the one in force, or the empty
// string. It prefers another one than the given one, and one that is followed.
func (f *Follower) source(avoid string) string {
	needed := max(f.sink.Number(), f.documents.rejectedNumber()) + 1
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestRank := "", -1
	for address, number := range f.heard {
		if number < needed {
			continue
		}
		rank := 0
		if f.followed[address] {
			rank++
		}
		if address != avoid {
			rank += 2
		}
		if rank > bestRank {
			best, bestRank = address, rank
		}
	}
	return best
}

// fetch receives the rest of a transfer from a replica, and puts its document in force.
func (f *Follower) fetch(ctx context.Context, address string) error {
	client, err := f.peers.Client(address)
	if err != nil {
		return err
	}
	for {
		complete, err := f.fetchPiece(ctx, client)
		if err != nil {
			return err
		}
		if complete {
			return f.complete(address)
		}
	}
}

// fetchPiece receives the next piece and reports whether the transfer is complete.
func (f *Follower) fetchPiece(ctx context.Context, client *peer.Client) (bool, error) {
	request := f.documents.nextRequest(f.name)
	ctx, cancel := context.WithTimeout(ctx, maxPieceTime)
	defer cancel()
	resp := &wire.FetchResponse{}
	silence := fetchSilence + f.extraPatience(client.Address().String())
	if err := client.CallUntilSilent(ctx, silence, control.MethodFetch, request, resp); err != nil {
		return false, err
	}
	return f.documents.add(resp, f.timers.Now())
}

// nextRequest returns the request for the next piece: of the transfer that was begun, or of a new one.
func (d *documents) nextRequest(instance string) *wire.FetchRequest {
	request := &wire.FetchRequest{Instance: instance}
	if c := d.current; c != nil {
		request.Base, request.Number, request.Offset = c.base, c.number, c.received()
	} else if !d.whole {
		request.Base = d.heldDocument().GetNumber()
	}
	return request
}

// received returns the number of bytes received.
func (c *incoming) received() uint64 {
	if c == nil {
		return 0
	}
	return uint64(len(c.data))
}

// continues reports whether a piece is the next one of the transfer.
func (c *incoming) continues(piece *wire.FetchResponse) bool {
	return c != nil && c.number == piece.GetNumber() && c.base == piece.GetBase() && c.bytes == piece.GetTransferBytes() &&
		c.received() == piece.GetOffset() && bytes.Equal(c.digest, piece.GetDigest())
}

// add adds a piece and reports whether the transfer is complete. A piece of another transfer begins
// that one.
func (d *documents) add(piece *wire.FetchResponse, now time.Duration) (bool, error) {
	if !d.current.continues(piece) {
		d.current = nil
		if piece.GetOffset() != 0 || piece.GetTransferBytes() > peer.MaxMessageBytes {
			return false, errIncomplete
		}
		d.current = &incoming{number: piece.GetNumber(), base: piece.GetBase(), digest: piece.GetDigest(), bytes: piece.GetTransferBytes(), begunAt: now}
	}
	c := d.current
	c.data = append(c.data, piece.GetData()...)
	if c.received() < c.bytes && len(piece.GetData()) == 0 {
		d.current = nil
		return false, errIncomplete
	}
	return c.received() >= c.bytes, nil
}

// complete puts the received document in force. It returns errOlder if it is not newer than the one in
// force; the replica is not asked again until it names another one.
func (f *Follower) complete(address string) error {
	c := f.documents.current
	document, err := f.documents.take()
	if err != nil {
		return err
	}
	f.log.Info("document received", "replica", address, "number", c.number, "base", c.base, "bytes", len(document.GetBody()),
		"transfer-bytes", c.bytes, "took-ms", (f.timers.Now() - c.begunAt).Milliseconds())
	if document.GetNumber() <= f.sink.Number() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.heard[address] = document.GetNumber()
		return errOlder
	}
	f.install(document)
	return nil
}

// take returns the document that was received completely. If it cannot be made, or is not the one
// that was sent, the next transfer is one of the whole document.
func (d *documents) take() (*wire.Document, error) {
	c := d.current
	d.current = nil
	body, err := d.decode(c)
	d.whole = err != nil
	if err != nil {
		return nil, err
	}
	return &wire.Document{Number: c.number, Body: body}, nil
}

// decode returns the body of a document that was received completely.
func (d *documents) decode(c *incoming) ([]byte, error) {
	var base *wire.Document
	if c.base != 0 {
		base = d.heldDocument()
	}
	if base.GetNumber() != c.base {
		return nil, errors.Wrapf(errDigest, "base %d is not held", c.base)
	}
	body, err := difference.Apply(base.GetBody(), c.data, peer.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(body); !bytes.Equal(digest[:], c.digest) {
		return nil, errDigest
	}
	return body, nil
}

func (d *documents) heldDocument() *wire.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.held
}

func (d *documents) rejectedNumber() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejected
}

// install puts a document in force if it is newer than the one held.
func (f *Follower) install(document *wire.Document) {
	d := &f.documents
	d.mu.Lock()
	defer d.mu.Unlock()
	if document.GetNumber() <= max(d.held.GetNumber(), d.rejected) {
		return
	}
	if err := f.sink.Install(document); err != nil {
		d.rejected = document.GetNumber()
		f.log.Error(err, "cannot put document in force", "number", document.GetNumber())
		return
	}
	d.held = document
}
