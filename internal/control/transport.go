package control

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// sendQueue bounds the messages that wait for one replica; more are lost,
	// which the log tolerates.
	sendQueue = 256
	// sendTimeout bounds the delivery of one batch.
	sendTimeout = time.Second
	// addressEvery is how many messages carry the sender's address once. Only a
	// replica without a membership needs it.
	addressEvery = 16
	// batchMessages bounds one delivery.
	batchMessages = 32
)

// methodDeliver takes messages between replicas.
const methodDeliver = "Replica.Deliver"

// PeerTransport sends messages over peer connections, one goroutine a replica.
type PeerTransport struct {
	log     logr.Logger
	ctx     context.Context //nolint:containedctx // bounds the goroutines that Send starts
	creds   *peer.Credentials
	traffic *peer.Traffic
	self    string

	mu     sync.Mutex // guards queues; never held while another lock is taken
	queues map[string]*queue
	ended  sync.WaitGroup
}

// NewPeerTransport returns a transport whose goroutines end with the context.
// Self is the address at which this replica receives answers.
func NewPeerTransport(ctx context.Context, log logr.Logger, self string, creds *peer.Credentials, traffic *peer.Traffic) *PeerTransport {
	return &PeerTransport{
		log: log, ctx: ctx, creds: creds, traffic: traffic, self: self,
		queues: map[string]*queue{},
	}
}

// Send implements Transport.
func (t *PeerTransport) Send(address string, m *wire.Message) {
	q := t.queue(address)
	if q.sent.Add(1)%addressEvery == 1 || m.GetKind() == wire.Kind_KIND_SNAPSHOT {
		m.FromAddress = t.self
	}
	select {
	case q.messages <- m:
	default: // the replica is slow or gone
	}
}

// Wait returns once all goroutines have ended.
func (t *PeerTransport) Wait() { t.ended.Wait() }

// queue holds the messages for one replica.
type queue struct {
	messages chan *wire.Message
	sent     atomic.Uint64
}

func (t *PeerTransport) queue(address string) *queue {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[address]
	if !ok {
		q = &queue{messages: make(chan *wire.Message, sendQueue)}
		t.queues[address] = q
		t.ended.Go(func() { t.drain(address, q.messages) })
	}
	return q
}

func (t *PeerTransport) drain(address string, queue chan *wire.Message) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		t.log.Error(err, "replica has no usable address", "address", address)
		return
	}
	client := peer.NewClient(at, t.creds, t.traffic)
	defer client.Close()
	for {
		select {
		case <-t.ctx.Done():
			return
		case first := <-queue:
			t.deliver(client, collect(first, queue))
		}
	}
}

func collect(first *wire.Message, queue chan *wire.Message) *wire.MessageBatch {
	batch := &wire.MessageBatch{Messages: []*wire.Message{first}}
	for len(batch.Messages) < batchMessages {
		select {
		case m := <-queue:
			batch.Messages = append(batch.Messages, m)
		default:
			return batch
		}
	}
	return batch
}

func (t *PeerTransport) deliver(client *peer.Client, batch *wire.MessageBatch) {
	ctx, cancel := context.WithTimeout(t.ctx, sendTimeout)
	defer cancel()
	if err := client.Call(ctx, methodDeliver, batch, &wire.Empty{}); err != nil {
		t.log.V(1).Info("messages to a replica were lost", "address", client.Address().String(), "reason", err.Error())
	}
}
