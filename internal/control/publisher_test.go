package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/control"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// TestDocumentsOfBothBuilds checks that an instance of an earlier build gets whole documents with its polls, and
// one that fetches documents their numbers only, each number once.
func TestDocumentsOfBothBuilds(t *testing.T) {
	p := control.NewPublisher(1)
	now := func() time.Duration { return 0 }
	document := &wire.Document{Number: 7, Body: []byte("body")}
	p.PublishDocument(document)
	earlier := p.Await(context.Background(), &wire.FollowRequest{Document: 6}, 0, now)
	require.Equal(t, document, earlier.GetDocument())
	require.Nil(t, p.Await(context.Background(), &wire.FollowRequest{Document: 7}, 0, now).GetDocument())

	fetching := &wire.FollowRequest{Document: 6, FetchesDocuments: true, ListEpoch: 1}
	got := p.Await(context.Background(), fetching, time.Hour, now)
	require.Nil(t, got.GetDocument())
	require.EqualValues(t, 7, got.GetDocumentNumber())
	fetching.DocumentHeard = got.GetDocumentNumber()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.EqualValues(t, 7, p.Await(ctx, fetching, time.Hour, now).GetDocumentNumber(), "it waits for the next one")
}

// TestEachLoadIsSentOnce guards against answers to polls that repeat the reports of all engines though a few are
// new: replicas read engines at different times, and an instance polls more often than an engine is read.
func TestEachLoadIsSentOnce(t *testing.T) {
	const (
		engines   = 45
		batches   = 5 // in which the engines' reports come, one after another
		pollsEach = 3 // polls in the time of a batch
		rounds    = 10
	)
	p := control.NewPublisher(1)
	p.PublishTargets([]*wire.Target{{Id: "e-0"}}, true, 0)
	request := &wire.FollowRequest{}
	poll := func(now time.Duration) []*wire.Load {
		answer := p.Await(context.Background(), request, 0, func() time.Duration { return now })
		request.ListEpoch, request.ListVersion, request.LoadsVersion = answer.GetListEpoch(), answer.GetListVersion(), answer.GetLoadsVersion()
		return answer.GetLoads()
	}
	received := map[string]uint32{} // running requests, by engine
	sent := 0
	for step := range rounds * batches {
		now := time.Duration(step) * 100 * time.Millisecond
		var loads []*wire.Load
		for i := step % batches; i < engines; i += batches {
			loads = append(loads, &wire.Load{Target: fmt.Sprint("e-", i), Running: uint32(step)})
		}
		p.PublishLoads(loads, now)
		for range pollsEach {
			for _, l := range poll(now) {
				received[l.GetTarget()] = l.GetRunning()
				sent++
			}
		}
	}
	require.Len(t, received, engines)
	for i := range engines {
		last := (rounds-1)*batches + i%batches
		require.EqualValues(t, last, received[fmt.Sprint("e-", i)], "the newest report of engine %d", i)
	}
	require.Equal(t, rounds*engines, sent)
	request.ListEpoch = 2 // of another process
	require.Len(t, poll(0), engines)
}
