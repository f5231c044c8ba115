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
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const (
	// retryDelay is the delay before the sources are tried again after a failure.
	retryDelay = 200 * time.Millisecond
	// responseMargin is added to the requested wait to get the time for which the connection may be
	// silent.
	responseMargin = 2 * time.Second
	// initialSyncTimeout bounds the question for the versions after a start.
	initialSyncTimeout = 2 * time.Second
)

// RPC methods of the sources.
const (
	// MethodControlWatch is served by the control replicas.
	MethodControlWatch = "Control.Watch"
	// MethodPeerWatch is served by every instance.
	MethodPeerWatch = "Config.Watch"
)

// source is a process that serves the configuration.
type source struct {
	name   string
	method string
	client *peer.Client
}

// Subscriber keeps a store up to date. It follows one source at a time and prefers
// control replicas to peers of the failure domain.
type Subscriber struct {
	log             logr.Logger
	store           *Store
	instance        string
	domain          string
	address         string
	wait            time.Duration
	sources         []source
	replicas        int
	initialSyncDone chan struct{}
}

// NewSubscriber returns a subscriber of the named instance. It tries replicas in the
// given order, then at most maxPeers of the peers. Wait is how long a source may hold a
// request open until there is a new version.
func NewSubscriber(log logr.Logger, store *Store, self inifile.Peer, domain string, wait time.Duration,
	replicas, peers []inifile.Peer, creds *peer.Credentials, traffic *peer.Traffic,
) *Subscriber {
	s := &Subscriber{
		log: log, store: store, instance: self.Name, domain: domain, address: self.Address.String(),
		wait: wait, replicas: len(replicas), initialSyncDone: make(chan struct{}),
	}
	for _, p := range replicas {
		s.sources = append(s.sources, source{p.Name, MethodControlWatch, peer.NewClient(p.Address, creds, traffic)})
	}
	for _, p := range selectPeers(peers, self.Name) {
		s.sources = append(s.sources, source{p.Name, MethodPeerWatch, peer.NewClient(p.Address, creds, traffic)})
	}
	return s
}

// maxPeers bounds the number of peers of the failure domain that an instance uses as
// sources.
const maxPeers = 3

// selectPeers returns at most maxPeers peers. A hash of the instance's name selects them,
// so that the load is distributed over all peers.
func selectPeers(peers []inifile.Peer, self string) []inifile.Peer {
	if len(peers) <= maxPeers {
		return peers
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self)) // writing to a hash does not fail
	start := int(h.Sum32() % uint32(len(peers)))
	return append(slices.Clone(peers[start:]), peers[:start]...)[:maxPeers]
}

// InitialSyncDone returns a channel that is closed once every source was queried after
// the start, so that the version held is the highest one available. The instance
// may serve only after that: earlier, its version could be lower than the one it
// served before a restart.
func (s *Subscriber) InitialSyncDone() <-chan struct{} { return s.initialSyncDone }

// Run follows the sources until the context ends. It then closes the clients and
// sends nil on the returned channel.
func (s *Subscriber) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		s.initialSync(ctx)
		close(s.initialSyncDone)
		for ctx.Err() == nil {
			s.followAny(ctx)
			timer.Sleep(ctx, retryDelay)
		}
		for _, src := range s.sources {
			src.client.Close()
		}
		done <- nil
	}()
	return done
}

// initialSync queries all sources concurrently for their versions and applies the
// highest.
func (s *Subscriber) initialSync(ctx context.Context) {
	versionCtx, cancel := context.WithTimeout(ctx, initialSyncTimeout)
	defer cancel()
	versions := make([]uint64, len(s.sources))
	var wg sync.WaitGroup
	for i, src := range s.sources {
		wg.Go(func() {
			resp := &wire.WatchResponse{}
			if src.client.Call(versionCtx, src.method, &wire.WatchRequest{VersionOnly: true}, resp) == nil {
				versions[i] = resp.GetVersion()
			}
		})
	}
	wg.Wait()
	for s.store.Version() < slices.Max(append(versions, 0)) {
		best := slices.Index(versions, slices.Max(versions))
		resp, err := s.fetch(ctx, s.sources[best], 0)
		versions[best] = 0 // if the request failed, the source with the next highest version is tried
		if err == nil {
			s.apply(s.sources[best], resp)
		}
	}
}

// followAny follows the first source that responds until it fails. If that is a peer,
// it returns after one response, so that the replicas are tried again.
func (s *Subscriber) followAny(ctx context.Context) {
	for i, src := range s.sources {
		for ctx.Err() == nil {
			resp, err := s.fetch(ctx, src, s.wait)
			if err != nil {
				s.log.V(1).Info("cannot get configuration from source", "source", src.name, "reason", err.Error())
				break
			}
			if resp.GetVersion() < s.store.Version() {
				break // the source has an older version than this instance
			}
			s.apply(src, resp)
			if i >= s.replicas {
				return
			}
		}
	}
}

func (s *Subscriber) fetch(ctx context.Context, src source, wait time.Duration) (*wire.WatchResponse, error) {
	request := &wire.WatchRequest{
		Instance: s.instance, FailureDomain: s.domain, Address: s.address,
		Version: s.store.Version(), WaitMs: uint64(wait.Milliseconds()),
	}
	resp := &wire.WatchResponse{}
	err := src.client.CallUntilSilent(ctx, wait+responseMargin, src.method, request, resp)
	return resp, err
}

func (s *Subscriber) apply(src source, resp *wire.WatchResponse) {
	before := s.store.Version()
	err := Apply(s.store, resp)
	if err != nil {
		s.log.Error(err, "cannot apply configuration", "source", src.name, "version", resp.GetVersion())
		return
	}
	if after := s.store.Version(); after != before {
		s.log.Info("configuration in force", "version", after, "source", src.name)
	}
}

// Apply puts the response of a source in force if its version is higher than the store's.
// It returns the errors of Store.Advance and Store.Reset.
func Apply(store *Store, resp *wire.WatchResponse) error {
	if resp.GetVersion() <= store.Version() {
		return nil
	}
	if resp.GetFull() {
		return store.Reset(resp.GetVersion(), resp.GetSections())
	}
	for _, d := range resp.GetDeltas() {
		if d.GetVersion() <= store.Version() {
			continue
		}
		if err := store.Advance(d); err != nil {
			return err
		}
	}
	return nil
}

// PeerService serves the configuration to other instances of the failure domain.
type PeerService struct {
	store *Store
}

// NewPeerService returns the RPC receiver that serves MethodPeerWatch.
func NewPeerService(store *Store) *PeerService { return &PeerService{store: store} }

// Watch responds to a watch request of another instance with the versions that it lacks.
func (p *PeerService) Watch(request *wire.WatchRequest, resp *wire.WatchResponse) error {
	CopyResponse(resp, p.store.HandleWatch(context.Background(), request))
	return nil
}

// MaxWait bounds how long a source holds a watch request open.
const MaxWait = 10 * time.Second

// CopyResponse copies the fields of a response.
func CopyResponse(to, from *wire.WatchResponse) {
	to.Version, to.Deltas, to.Sections, to.Full = from.GetVersion(), from.GetDeltas(), from.GetSections(), from.GetFull()
}
