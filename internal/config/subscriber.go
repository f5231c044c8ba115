package config

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillaward/vanillaward/internal/inifile"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// retryPause is the pause after a source failed.
	retryPause = 200 * time.Millisecond
	// answerMargin is added to the wait that a source is asked for.
	answerMargin = 2 * time.Second
	// surveyTimeout bounds the first round of questions after a start.
	surveyTimeout = 2 * time.Second
)

// Methods that sources answer.
const (
	// MethodControlWatch is answered by the control replicas.
	MethodControlWatch = "Control.Watch"
	// MethodPeerWatch is answered by every instance.
	MethodPeerWatch = "Config.Watch"
)

// source is a process that can hand on the configuration.
type source struct {
	name   string
	method string
	client *peer.Client
}

// Subscriber keeps a store up to date. It follows one source at a time, control
// replicas before peers of the failure domain.
type Subscriber struct {
	log      logr.Logger
	store    *Store
	instance string
	domain   string
	address  string
	wait     time.Duration
	sources  []source
	replicas int
	surveyed chan struct{}
}

// NewSubscriber returns a subscriber of the named instance. Replicas and peers
// are asked in the given order.
func NewSubscriber(log logr.Logger, store *Store, self inifile.Peer, domain string, wait time.Duration,
	replicas, peers []inifile.Peer, creds *peer.Credentials, traffic *peer.Traffic,
) *Subscriber {
	s := &Subscriber{
		log: log, store: store, instance: self.Name, domain: domain, address: self.Address.String(),
		wait: wait, replicas: len(replicas), surveyed: make(chan struct{}),
	}
	for _, p := range replicas {
		s.sources = append(s.sources, source{p.Name, MethodControlWatch, peer.NewClient(p.Address, creds, traffic)})
	}
	for _, p := range somePeers(peers, self.Name) {
		s.sources = append(s.sources, source{p.Name, MethodPeerWatch, peer.NewClient(p.Address, creds, traffic)})
	}
	return s
}

// maxPeers bounds the peers of the failure domain that an instance asks.
const maxPeers = 3

// somePeers returns a few peers, other ones for other instances.
func somePeers(peers []inifile.Peer, self string) []inifile.Peer {
	if len(peers) <= maxPeers {
		return peers
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self)) // a hash does not fail
	start := int(h.Sum32() % uint32(len(peers)))
	return append(slices.Clone(peers[start:]), peers[:start]...)[:maxPeers]
}

// Surveyed returns a channel that is closed once every source was asked after
// the start, so that the version held is the highest one within reach. Only
// then may the instance serve: before, it could be behind what it served
// before a restart.
func (s *Subscriber) Surveyed() <-chan struct{} { return s.surveyed }

// Run follows the sources until the context ends and reports its end on the
// returned channel.
func (s *Subscriber) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		s.survey(ctx)
		close(s.surveyed)
		for ctx.Err() == nil {
			s.followAny(ctx)
			pause(ctx, retryPause)
		}
		for _, src := range s.sources {
			src.client.Close()
		}
		done <- nil
	}()
	return done
}

// survey asks all sources at once for their versions, and takes the highest.
func (s *Subscriber) survey(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	versions := make([]uint64, len(s.sources))
	var asking sync.WaitGroup
	for i, src := range s.sources {
		asking.Go(func() {
			answer := &wire.WatchResponse{}
			if src.client.Call(ctx, src.method, &wire.WatchRequest{VersionOnly: true}, answer) == nil {
				versions[i] = answer.GetVersion()
			}
		})
	}
	asking.Wait()
	for s.store.Version() < slices.Max(append(versions, 0)) {
		best := slices.Index(versions, slices.Max(versions))
		answer, err := s.ask(ctx, s.sources[best], 0)
		versions[best] = 0 // if it failed, the next best is asked
		if err == nil {
			s.take(s.sources[best], answer)
		}
	}
}

// followAny follows the first source that answers, until it fails. While it
// follows a peer it keeps looking for a replica.
func (s *Subscriber) followAny(ctx context.Context) {
	for i, src := range s.sources {
		for ctx.Err() == nil {
			answer, err := s.ask(ctx, src, s.wait)
			if err != nil {
				s.log.V(1).Info("source of the configuration failed", "source", src.name, "reason", err.Error())
				break
			}
			if answer.GetVersion() < s.store.Version() {
				break // the source lags behind this instance
			}
			s.take(src, answer)
			if i >= s.replicas {
				return
			}
		}
	}
}

func (s *Subscriber) ask(ctx context.Context, src source, wait time.Duration) (*wire.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	request := &wire.WatchRequest{
		Instance: s.instance, FailureDomain: s.domain, Address: s.address,
		Version: s.store.Version(), WaitMs: uint64(wait.Milliseconds()),
	}
	answer := &wire.WatchResponse{}
	err := src.client.Call(ctx, src.method, request, answer)
	return answer, err
}

func (s *Subscriber) take(src source, answer *wire.WatchResponse) {
	before := s.store.Version()
	err := Take(s.store, answer)
	if err != nil {
		s.log.Error(err, "configuration cannot be taken", "source", src.name, "version", answer.GetVersion())
		return
	}
	if after := s.store.Version(); after != before {
		s.log.Info("configuration in force", "version", after, "source", src.name)
	}
}

// Take puts an answer of a source in force where it is newer.
func Take(store *Store, answer *wire.WatchResponse) error {
	if answer.GetVersion() <= store.Version() {
		return nil
	}
	if answer.GetFull() {
		return store.Reset(answer.GetVersion(), answer.GetSections())
	}
	for _, d := range answer.GetDeltas() {
		if d.GetVersion() <= store.Version() {
			continue
		}
		if err := store.Advance(d); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// PeerService hands the configuration on to other instances of the failure
// domain.
type PeerService struct {
	store *Store
}

// NewPeerService returns the receiver of MethodPeerWatch.
func NewPeerService(store *Store) *PeerService { return &PeerService{store: store} }

// Watch answers at once with what the asking instance lacks.
func (p *PeerService) Watch(request *wire.WatchRequest, answer *wire.WatchResponse) error {
	Copy(answer, p.store.Answer(context.Background(), request))
	return nil
}

// MaxWait bounds how long a source holds a question open.
const MaxWait = 10 * time.Second

// Copy moves the fields of a response.
func Copy(to, from *wire.WatchResponse) {
	to.Version, to.Deltas, to.Sections, to.Full = from.GetVersion(), from.GetDeltas(), from.GetSections(), from.GetFull()
}
