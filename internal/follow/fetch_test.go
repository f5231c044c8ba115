package follow

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/peer"
	"github.com/vanillaward/vanillaward/internal/timer"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// scheduleSeeds is the number of random schedules of pieces and documents that are played.
var scheduleSeeds = flag.Uint64("follow.seeds", 150, "random schedules of pieces that are played")

// schedule is replicas that publish documents, some of them later than others, and an instance that
// receives pieces which may be lost, come twice or late.
type schedule struct {
	random    *rand.Rand
	replicas  []*control.Publisher
	numbers   []uint64          // of the newest document of each replica
	bodies    map[uint64][]byte // of all documents
	documents documents
	late      *wire.FetchResponse // a piece that is still under way
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{random: rand.New(rand.NewPCG(seed, 30)), bodies: map[uint64][]byte{}, numbers: make([]uint64, 3)}
	for i := range s.numbers {
		s.replicas = append(s.replicas, control.NewPublisher(uint64(i+1)))
	}
	return s
}

// publish publishes the next document at some replicas, or lets one catch up.
func (s *schedule) publish() {
	newest := uint64(len(s.bodies))
	if newest == 0 || s.random.IntN(2) == 0 {
		newest++
		body := []byte(fmt.Sprint("document ", newest, " "))
		if before := s.bodies[newest-1]; before != nil && s.random.IntN(8) > 0 {
			body = append(body, before[s.random.IntN(len(before)):]...)
		}
		for range s.random.IntN(30000) {
			body = append(body, byte(s.random.Uint32()))
		}
		s.bodies[newest] = body
	}
	i := s.random.IntN(len(s.replicas))
	if s.random.IntN(20) == 0 { // restarts with the newest only
		s.replicas[i] = control.NewPublisher(uint64(i + 1))
	}
	s.replicas[i].PublishDocument(&wire.Document{Number: newest, Body: s.bodies[newest]})
	s.numbers[i] = newest
}

// fetch asks a replica for the next piece. It may be lost, or be delivered after others.
func (s *schedule) fetch() *wire.FetchResponse {
	request := s.documents.nextRequest("i")
	piece, err := s.replicas[s.random.IntN(len(s.replicas))].Fetch(request)
	if err != nil {
		return nil
	}
	switch s.random.IntN(10) {
	case 0:
		return nil
	case 1:
		piece, s.late = s.late, piece
	case 2:
		s.late = piece // comes twice
	}
	return piece
}

// step delivers a piece and returns a document that is complete, or nil.
func (s *schedule) step() *wire.Document {
	piece := s.fetch()
	if piece == nil {
		return nil
	}
	complete, err := s.documents.add(piece, time.Second)
	if err != nil || !complete {
		return nil
	}
	d, err := s.documents.take()
	if err != nil {
		return nil
	}
	return d
}

// TestDocumentsInAnySchedule checks that an instance puts only documents in force that were published,
// whole, and never an older one, whatever happens to the pieces; and that it gets the newest one.
func TestDocumentsInAnySchedule(t *testing.T) {
	const steps, calmSteps = 40, 60
	for seed := range *scheduleSeeds {
		s := newSchedule(seed)
		for step := range steps + calmSteps {
			if step < steps && s.random.IntN(4) == 0 {
				s.publish()
			}
			if step == steps { // all replicas have caught up
				newest := uint64(len(s.bodies))
				for i, r := range s.replicas {
					r.PublishDocument(&wire.Document{Number: newest, Body: s.bodies[newest]})
					s.numbers[i] = newest
				}
			}
			held := s.documents.heldDocument().GetNumber()
			if d := s.step(); d != nil {
				require.Equal(t, s.bodies[d.GetNumber()], d.GetBody(), "seed %d, document %d", seed, d.GetNumber())
				if d.GetNumber() > held {
					s.documents.held = d
				}
			}
			require.GreaterOrEqual(t, s.documents.heldDocument().GetNumber(), held, "seed %d", seed)
		}
		require.EqualValues(t, len(s.bodies), s.documents.heldDocument().GetNumber(), "seed %d: not the newest", seed)
	}
}

// TestWrongBase checks that a difference which does not result in the document that was sent leads to
// a transfer of the whole document, and that nothing else comes into force.
func TestWrongBase(t *testing.T) {
	replica := control.NewPublisher(1)
	for number := range uint64(2) {
		replica.PublishDocument(&wire.Document{Number: number + 1, Body: []byte(fmt.Sprint("a document with the number ", number+1))})
	}
	d := documents{held: &wire.Document{Number: 1, Body: []byte("a document with another beginning 1")}}
	var refused error
	made := false
	for range 2 {
		piece, err := replica.Fetch(d.nextRequest("i"))
		require.NoError(t, err)
		complete, err := d.add(piece, 0)
		require.NoError(t, err)
		require.True(t, complete)
		got, err := d.take()
		if err != nil {
			refused = err
			continue
		}
		require.Zero(t, piece.GetBase(), "whole")
		require.Equal(t, "a document with the number 2", string(got.GetBody()))
		made = true
	}
	require.True(t, made, "no whole document after the difference was refused")
	require.ErrorIs(t, refused, errDigest)
}

// TestReplicaOfEarlierBuild checks that a document which came whole with a poll is put in force and is the base of
// the next difference.
func TestReplicaOfEarlierBuild(t *testing.T) {
	s := &installs{}
	f := New(logr.Discard(), timer.New(), peer.NewPool(peer.PlainCredentials(), &peer.Traffic{}), "i", "d", func() []string { return nil }, s)
	f.install(&wire.Document{Number: 3, Body: []byte("three")})
	f.install(&wire.Document{Number: 2, Body: []byte("two")})
	require.Equal(t, []uint64{3}, s.numbers, "never an older one")
	require.EqualValues(t, 3, f.documents.nextRequest("i").GetBase())
	s.err = errors.New("findings")
	f.install(&wire.Document{Number: 4, Body: []byte("four")})
	s.err = nil
	f.install(&wire.Document{Number: 4, Body: []byte("four")})
	require.Equal(t, []uint64{3, 4}, s.numbers, "one that cannot be put in force is not tried again")
	require.EqualValues(t, 3, f.documents.nextRequest("i").GetBase())
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, DocumentNumber: 4})
	require.Empty(t, f.source(""), "nor fetched")
	f.handleResponse("10.0.0.1:1", &wire.FollowResponse{Fresh: true, DocumentNumber: 5})
	require.Equal(t, "10.0.0.1:1", f.source(""))
}

// installs records the documents that are to be put in force.
type installs struct {
	sink
	numbers []uint64
	inForce uint64
	err     error
}

func (s *installs) Number() uint64 { return s.inForce }

func (s *installs) Install(d *wire.Document) error {
	s.numbers = append(s.numbers, d.GetNumber())
	if s.err == nil {
		s.inForce = d.GetNumber()
	}
	return s.err
}

// TestReplicaThatForgot guards against fetching without end from a replica that named a document which it no
// longer has, because it lost its disk.
func TestReplicaThatForgot(t *testing.T) {
	const address = "10.0.0.1:1"
	s := &installs{}
	f := New(logr.Discard(), timer.New(), peer.NewPool(peer.PlainCredentials(), &peer.Traffic{}), "i", "d", func() []string { return nil }, s)
	f.install(&wire.Document{Number: 3, Body: []byte("three")})
	f.handleResponse(address, &wire.FollowResponse{Fresh: true, DocumentNumber: 5})
	require.Equal(t, address, f.source(""))
	forgetful := control.NewPublisher(1)
	forgetful.PublishDocument(&wire.Document{Number: 2, Body: []byte("two")})
	piece, err := forgetful.Fetch(f.documents.nextRequest("i"))
	require.NoError(t, err)
	complete, err := f.documents.add(piece, 0)
	require.NoError(t, err)
	require.True(t, complete)
	require.ErrorIs(t, f.complete(address), errOlder)
	require.Empty(t, f.source(""))
	require.Equal(t, []uint64{3}, s.numbers)
	f.handleResponse(address, &wire.FollowResponse{Fresh: true, DocumentNumber: 5})
	require.Equal(t, address, f.source(""), "it has caught up")
}
