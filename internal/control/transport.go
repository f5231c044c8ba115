package control

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// sendQueueSize bounds the queued messages for one replica; further messages are
	// dropped, which the log tolerates.
	sendQueueSize = 256
	// sendTimeout bounds the delivery of a batch, beside the time that its bytes take at
	// minBytesPerSecond: a large batch that is given up would begin again.
	sendTimeout       = time.Second
	minBytesPerSecond = 64 << 10
	// addressInterval is the interval, in messages to one replica, at which a message
	// carries the sender's address. Only a replica that has no membership yet needs the
	// address.
	addressInterval = 16
	// minReconnectDelay and maxReconnectDelay bound the mean delay before a replica that could not be reached is
	// tried again.
	minReconnectDelay = 20 * time.Millisecond
	maxReconnectDelay = 160 * time.Millisecond
	// maxBatchMessages bounds the messages of a batch.
	maxBatchMessages = 32
)

// methodDeliver is the RPC method that delivers messages to a replica.
const methodDeliver = "Replica.Deliver"

// PeerTransport sends messages over peer connections, with one goroutine per replica.
type PeerTransport struct {
	log     logr.Logger
	ctx     context.Context //nolint:containedctx // bounds the goroutines that Send starts
	creds   *peer.Credentials
	traffic *peer.Traffic
	self    string

	mu      sync.Mutex // guards queues; never held while another lock is taken
	queues  map[string]*queue
	senders sync.WaitGroup
}

// NewPeerTransport returns a transport whose goroutines stop when the context ends.
// Self is the address at which this replica receives replies.
func NewPeerTransport(ctx context.Context, log logr.Logger, self string, creds *peer.Credentials, traffic *peer.Traffic) *PeerTransport {
	return &PeerTransport{
		log: log, ctx: ctx, creds: creds, traffic: traffic, self: self,
		queues: map[string]*queue{},
	}
}

// Send implements Transport. It drops the message if the queue is full.
func (t *PeerTransport) Send(address string, m *wire.Message) {
	q := t.queue(address)
	if q.sent.Add(1)%addressInterval == 1 || m.GetKind() == wire.Kind_KIND_SNAPSHOT {
		m.FromAddress = t.self
	}
	select {
	case q.messages <- m:
	default: // the replica is slow or unreachable
	}
}

// Wait waits until all goroutines have stopped.
func (t *PeerTransport) Wait() { t.senders.Wait() }

// queue holds the messages for one replica.
type queue struct {
	messages chan *wire.Message
	sent     atomic.Uint64
}

// queue returns the queue for an address, and starts its sender if it is new.
func (t *PeerTransport) queue(address string) *queue {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = &queue{messages: make(chan *wire.Message, sendQueueSize)}
		t.queues[address] = q
		t.senders.Go(func() { t.sendQueued(address, q.messages) })
	}
	return q
}

// sendQueued sends the queued messages for one replica in batches until the context ends.
func (t *PeerTransport) sendQueued(address string, queued chan *wire.Message) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		t.log.Error(err, "cannot parse replica address", "address", address)
		return
	}
	client := peer.NewClient(addr, t.creds, t.traffic)
	defer client.Close()
	failures := 0
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-queued:
			if t.deliver(client, nextBatch(first, queued)) {
				failures = 0
				continue
			}
			timer.Sleep(t.ctx, reconnectDelay(failures, rand.Float64()))
			failures++
		}
	}
}

// reconnectDelay returns the delay before messages are sent again to a replica that could not be reached, after a number
// of earlier failures in a row. Random is from 0 to 1. What is queued meanwhile is sent then, so that the delay must stay
// far below the time after which a leader is missed.
func reconnectDelay(failures int, random float64) time.Duration {
	mean := min(maxReconnectDelay, minReconnectDelay<<min(failures, 10))
	return time.Duration((0.5 + random) * float64(mean))
}

// nextBatch returns a batch of the first message and the queued ones after it.
func nextBatch(first *wire.Message, queued chan *wire.Message) *wire.MessageBatch {
	batch := &wire.MessageBatch{Messages: []*wire.Message{first}}
	for len(batch.Messages) < maxBatchMessages {
		select {
		case m := <-queued:
			batch.Messages = append(batch.Messages, m)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch and reports whether the replica could be reached.
func (t *PeerTransport) deliver(client *peer.Client, batch *wire.MessageBatch) bool {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout+time.Duration(proto.Size(batch))*time.Second/minBytesPerSecond)
	defer cancel()
	err := client.Call(ctx, methodDeliver, batch, &wire.Empty{})
	if err != nil {
		t.log.V(1).Info("cannot deliver messages to replica; dropping them", "address", client.Address().String(), "reason", err.Error())
	}
	return !errors.Is(err, peer.ErrUnreachable)
}
