package control_test

import (
	"context"
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
