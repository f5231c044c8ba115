package balance_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// player plays a script of testdata: one command a line, its arguments as words and
// name=value pairs.
type player struct {
	t        *testing.T
	place    string
	balancer *balance.Balancer
	now      time.Duration
	list     []*wire.Target
	words    []string
	values   map[string]string
}

// TestScripts plays the files of testdata, each of which names the pattern of load or
// fault that it stands for.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { play(t, file) })
	}
}

func play(t *testing.T, file string) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	p := &player{t: t, balancer: balance.New("home", rand.New(rand.NewPCG(1, 1)))}
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if p.words = strings.Fields(line); len(p.words) > 0 {
			p.place = fmt.Sprintf("%s:%d: %s", file, n, line)
			p.command()
		}
	}
	require.NoError(t, scanner.Err())
}

func (p *player) command() {
	p.values = map[string]string{}
	var words []string
	for _, w := range p.words {
		if name, value, ok := strings.Cut(w, "="); ok {
			p.values[name] = value
			continue
		}
		words = append(words, w)
	}
	p.words = words
	if !p.learn() && !p.ask() {
		require.Fail(p.t, "unknown command", p.place)
	}
}

// learn does a command that tells the balancer something.
func (p *player) learn() bool {
	switch p.words[0] {
	case "target":
		p.addTarget()
	case "leaving":
		p.target(p.words[1]).State = wire.TargetState_TARGET_STATE_LEAVING
		p.balancer.Update(p.list, p.now)
	case "report":
		p.balancer.UpdateLoads([]*wire.Load{{
			Target: p.words[1], Running: p.number("running"), Waiting: p.number("waiting"), UsedTokens: p.number("used"),
			CapacityTokens: 30000, Leaving: p.values["leaving"] != "",
		}}, p.now)
	case "others":
		p.balancer.UpdateOthers([]*wire.Use{{
			Target: p.words[1], Requests: p.number("requests"), Tokens: p.number("tokens"), Prefilling: p.number("prefilling"),
			SuspectedMs: p.number("suspected"),
		}}, 1, p.now)
	case "wait":
		p.now += time.Duration(p.number("ms")) * time.Millisecond
	case "suspect":
		p.balancer.Suspect(p.named(), p.now)
	case "prefill":
		p.balancer.Prefilled(p.named(), int(p.number("tokens")))
	case "begin":
		p.balancer.Begin(p.named(), int(p.number("tokens")), p.now)
	case "end":
		p.balancer.End(p.named(), int(p.number("tokens")), results[p.words[2]], p.now)
	default:
		return false
	}
	return true
}

// ask does a command that compares a choice with the expected one.
func (p *player) ask() bool {
	tokens := int(p.number("tokens"))
	switch p.words[0] {
	case "choose":
		p.expect(p.balancer.Choose("s", tokens, avoided(p.values["avoid"]), p.now))
	case "copy":
		p.expect(p.balancer.ChooseBackup(p.named(), tokens, nil, p.now))
	case "refuge":
		p.expect(p.balancer.ChooseRefuge(p.named(), tokens, avoided(p.values["avoid"]), p.now))
	case "resumable":
		require.Equal(p.t, p.values["is"], strconv.FormatBool(p.balancer.Resumable(p.named(), p.now)), p.place)
	default:
		return false
	}
	return true
}

// named returns the target that the command names.
func (p *player) named() *balance.Target { return p.balancer.Target(p.words[1]) }

var results = map[string]balance.Result{
	"served": balance.Served, "failed": balance.Failed, "unreachable": balance.Unreachable, "full": balance.Full,
	"misdirected": balance.Misdirected, "abandoned": balance.Abandoned,
}

func avoided(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func (p *player) addTarget() {
	p.list = append(p.list, &wire.Target{
		Id: p.words[1], Service: "s", Address: "10.0.0.1:1", FailureDomain: p.values["domain"], Slots: p.number("slots"),
		State: wire.TargetState_TARGET_STATE_READY, ColdMs: p.number("cold"),
	})
	p.balancer.Update(p.list, p.now)
}

func (p *player) target(id string) *wire.Target {
	for _, l := range p.list {
		if l.GetId() == id {
			return l
		}
	}
	require.Fail(p.t, "unknown target", p.place)
	return nil
}

func (p *player) number(name string) uint32 {
	n, err := strconv.Atoi("0" + p.values[name])
	require.NoError(p.t, err, p.place)
	return uint32(n)
}

// expect compares a choice with the word after "is=", where "a|b" allows either.
func (p *player) expect(got *balance.Target) {
	id := "nobody"
	if got != nil {
		id = got.ID()
	}
	require.Contains(p.t, strings.Split(p.values["is"], "|"), id, p.place)
}

// TestManyInstances: several instances that see each other's prompts spread a burst
// over the engines; without that they pile up on the ones that a stale report shows
// as free.
func TestManyInstances(t *testing.T) {
	const instances, engines, prompt = 8, 9, 3000
	longest := func(share bool) int {
		var balancers []*balance.Balancer
		var list []*wire.Target
		var loads []*wire.Load
		for e := range engines {
			id := fmt.Sprint("e", e)
			list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
			loads = append(loads, &wire.Load{Target: id, CapacityTokens: 34000, UsedTokens: uint32(e * 1000)})
		}
		for i := range instances {
			b := balance.New("home", rand.New(rand.NewPCG(uint64(i), 5)))
			b.Update(list, 0)
			b.UpdateLoads(loads, time.Second)
			balancers = append(balancers, b)
		}
		at := map[string]int{}
		for n := range 3 * engines {
			b := balancers[n%instances]
			if share {
				b.UpdateOthers(sumOthers(balancers, b), instances, time.Second)
			}
			chosen := b.Choose("s", prompt, nil, time.Second)
			b.Begin(chosen, prompt, time.Second)
			b.Prefilled(chosen, prompt)
			at[chosen.ID()]++
		}
		most := 0
		for _, n := range at {
			most = max(most, n)
		}
		return most
	}
	require.LessOrEqual(t, longest(true), 4, "shared: nearly even")
	require.Greater(t, longest(false), 4)
}

func sumOthers(all []*balance.Balancer, except *balance.Balancer) []*wire.Use {
	sums := map[string]*wire.Use{}
	var out []*wire.Use
	for _, b := range all {
		if b == except {
			continue
		}
		for _, u := range b.Uses(0) {
			s := sums[u.GetTarget()]
			if s == nil {
				s = &wire.Use{Target: u.GetTarget()}
				sums[u.GetTarget()] = s
				out = append(out, s)
			}
			s.Requests += u.GetRequests()
			s.Tokens += u.GetTokens()
			s.Prefilling += u.GetPrefilling()
		}
	}
	return out
}

// TestManyAtOnce: sixty instances that choose within the same moment, before any of them
// learns of the others, do not all take the engine that looks a little emptier (grown
// sites: ten prompts reached one engine within 0.3 s while others were idle).
func TestManyAtOnce(t *testing.T) {
	const instances, engines, prompt = 60, 12, 3000
	at := map[string]int{}
	for i := range instances {
		b := balance.New("home", rand.New(rand.NewPCG(uint64(i), 6)))
		var list []*wire.Target
		var loads []*wire.Load
		for e := range engines {
			id := fmt.Sprint("e", e)
			list = append(list, &wire.Target{Id: id, Service: "s", Address: "10.0.0.1:1", FailureDomain: "home", Slots: 24, State: wire.TargetState_TARGET_STATE_READY})
			loads = append(loads, &wire.Load{Target: id, CapacityTokens: 22000, UsedTokens: 9000, Running: uint32(3 + e%2)})
		}
		b.Update(list, 0)
		b.UpdateLoads(loads, time.Second)
		b.UpdateOthers(nil, instances, time.Second)
		at[b.Choose("s", prompt, nil, time.Second).ID()]++
	}
	for id, n := range at {
		require.LessOrEqual(t, n, 3*instances/engines, id)
	}
}
