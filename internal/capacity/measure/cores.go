package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/vanillaward/vanillaward/internal/admission"
	"github.com/vanillaward/vanillaward/internal/capacity"
	"github.com/vanillaward/vanillaward/internal/config"
	"github.com/vanillaward/vanillaward/internal/declaration"
	"github.com/vanillaward/vanillaward/internal/keeper"
	"github.com/vanillaward/vanillaward/internal/wire"
)

const measureCommand = "make capacity"

// routing measures the time of one routing decision that compares all targets,
// for several numbers of targets.
func routing() ([]*capacity.Series, error) {
	s := &capacity.Series{Name: "routing-decision", Command: measureCommand, Size: "targets", Unit: "microseconds"}
	for _, targets := range []int{3, 30, 673, 7400} {
		policy := admission.DefaultPolicy()
		policy.Samples = 0
		core := admission.New(admission.DefaultSettings(), policy, rand.New(rand.NewPCG(1, 1)))
		var specs []admission.TargetSpec
		for i := range targets {
			specs = append(specs, admission.TargetSpec{Name: strconv.Itoa(i), Pool: "m", Capacity: 65536, BatchCap: 64})
		}
		core.SetTargets(0, specs)
		const rounds = 3000
		start := time.Now()
		for id := range uint64(rounds) {
			core.Arrive(time.Second, admission.Request{ID: id, Pool: "m", Organisation: "o", Class: "c", Weight: 1, PromptTokens: 200, LongestTokens: 4096, Deadline: time.Hour})
			core.Done(time.Second, id, 100, admission.Finished)
		}
		s.Add(float64(targets), float64(time.Since(start).Microseconds())/rounds)
	}
	return []*capacity.Series{s}, nil
}

// sectionEdits returns a configuration of n sections in addition to three fixed
// ones. It has 980 organisations for n = 8,380, and the same proportion for other
// n.
func sectionEdits(n int) []*wire.SectionEdit {
	texts := map[string]string{
		"failure-domain d": "[failure-domain d]\nkeepers = k@127.0.0.1:1\n",
		"class c":          "[class c]\nidempotent = true\n",
		"service s":        "[service s]\nkind = generation\nmodel = m\ndefault-class = c\n",
	}
	organisations := n * 980 / 8380
	for i := range organisations {
		texts[fmt.Sprintf("organisation o%d", i)] = fmt.Sprintf("[organisation o%d]\nkey-hashes = %s\nweight = 2\n", i, declaration.HashKey(strconv.Itoa(i)))
	}
	for i := range n - organisations {
		texts[fmt.Sprintf("target t%d", i)] = fmt.Sprintf(
			"[target t%d]\nkind = engine\nfailure-domain = d\naddress = 10.%d.%d.%d:9000\nmodel = m\nkv-tokens = 65536\n", i, i>>16, i>>8&255, i&255)
	}
	return config.SectionsFromTexts(texts)
}

// declarations measures the memory that a configuration takes and the time until
// a change of one section is in force.
func declarations() ([]*capacity.Series, error) {
	memory := &capacity.Series{Name: "configuration-memory", Command: measureCommand, Size: "sections", Unit: "megabytes"}
	change := &capacity.Series{Name: "configuration-change", Command: measureCommand, Size: "sections", Unit: "milliseconds of processor"}
	for _, n := range []int{500, 2000, 4000, 8380} {
		before := heapBytes()
		store := config.NewStore()
		if err := store.Reset(1, sectionEdits(n)); err != nil {
			return nil, err
		}
		memory.Add(float64(n), float64(heapBytes()-before)/1e6)
		const rounds = 20
		start := time.Now()
		for i := range rounds {
			d := &wire.Delta{Version: uint64(2 + i), Edits: oneEdit(i)}
			if err := store.Advance(d); err != nil {
				return nil, err
			}
		}
		change.Add(float64(n), float64(time.Since(start).Microseconds())/1000/rounds)
		runtime.KeepAlive(store)
	}
	return []*capacity.Series{memory, change}, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// keeperRecords measures the memory of a keeper's records and the time to add one
// record with its outcome.
func keeperRecords() ([]*capacity.Series, error) {
	memory := &capacity.Series{Name: "keeper-memory", Command: measureCommand, Size: "records", Unit: "megabytes"}
	intent := &capacity.Series{Name: "keeper-intent", Command: measureCommand, Size: "records", Unit: "microseconds"}
	for _, n := range []int{2500, 5000, 10000, 20000} {
		before := heapBytes()
		core := keeper.New("a", "a1", n+1, 0)
		core.Configure(0, keeper.Epoch{Number: 1, Members: []string{"a"}, Lifetime: time.Hour})
		core.PermitFirstKeepers([]string{"a1"})
		start := time.Now()
		for i := range n {
			key := strconv.Itoa(i) + "-0123456789abcdef"
			core.Intent(0, &wire.IntentRequest{Epoch: 1, Key: key, Attempt: key, Owner: "owner-1", OwnerAddress: "10.0.0.1:7100", Digest: make([]byte, 32)})
			core.Outcome(0, &wire.OutcomeRequest{Epoch: 1, Key: key, Attempt: key, Answer: &wire.Answer{Status: 200, Body: make([]byte, 200)}})
		}
		intent.Add(float64(n), float64(time.Since(start).Microseconds())/float64(n))
		memory.Add(float64(n), float64(heapBytes()-before)/1e6)
		runtime.KeepAlive(core)
	}
	return []*capacity.Series{memory, intent}, nil
}
