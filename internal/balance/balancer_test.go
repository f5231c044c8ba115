package balance_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/balance"
	"github.com/vanillaward/vanillaward/internal/wire"
)

// scriptRunner runs a script of testdata: one command per line, its arguments as words
// and name=value pairs.
type scriptRunner struct {
	t        *testing.T
	position string
	balancer *balance.Balancer
	now      time.Duration
	list     []*wire.Target
	words    []string
	values   map[string]string
}

// TestScripts runs the scripts of testdata; each file is named after the load pattern or
// fault that it covers.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runScript(t, file) })
	}
}

func runScript(t *testing.T, file string) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	r := &scriptRunner{t: t, balancer: balance.New("home", rand.New(rand.NewPCG(1, 1)))}
	scanner := bufio.NewScanner(f)
	for n := 1; scanner.Scan(); n++ {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if r.words = strings.Fields(line); len(r.words) > 0 {
			r.position = fmt.Sprintf("%s:%d: %s", file, n, line)
			r.command()
		}
	}
	require.NoError(t, scanner.Err())
}

func (r *scriptRunner) command() {
	r.values = map[string]string{}
	var words []string
	for _, w := range r.words {
		if name, value, ok := strings.Cut(w, "="); ok {
			r.values[name] = value
			continue
		}
		words = append(words, w)
	}
	r.words = words
	if !r.update() && !r.state() && !r.check() {
		require.Fail(r.t, "unknown command", r.position)
	}
}

// update runs a command that changes the balancer's state.
func (r *scriptRunner) update() bool {
	switch r.words[0] {
	case "target":
		r.addTarget()
	case "leaving":
		r.target(r.words[1]).State = wire.TargetState_TARGET_STATE_LEAVING
		r.balancer.Update(r.list, r.now)
	case "ready":
		r.target(r.words[1]).State = wire.TargetState_TARGET_STATE_READY
		r.balancer.Update(r.list, r.now)
	case "unlisted":
		r.unlist(r.words[1])
	case "moved":
		r.target(r.words[1]).Address = "10.0.0.2:1"
		r.balancer.Update(r.list, r.now)
	case "report":
		r.balancer.UpdateLoads([]*wire.Load{{
			Target: r.words[1], Running: r.number("running"), Waiting: r.number("waiting"), UsedTokens: r.number("used"),
			CapacityTokens: 30000, Leaving: r.values["leaving"] != "", LeavesMs: r.number("leaves"), StartedMs: uint64(r.number("started")),
		}}, r.now)
	case "others":
		r.balancer.UpdatePeerUses([]*wire.Use{{
			Target: r.words[1], Requests: r.number("requests"), Tokens: r.number("tokens"), Prefilling: r.number("prefilling"),
			SuspectedMs: r.number("suspected"), UncopiedTokens: r.number("uncopied"),
		}}, 1, r.now)
	case "wait":
		r.now += time.Duration(r.number("ms")) * time.Millisecond
	case "evacuate":
		r.balancer.SetEvacuated(strings.Split(r.words[1], ","))
	case "suspect":
		r.balancer.SuspectLeaving(r.commandTarget(), r.now)
	case "uncopied":
		tokens, err := strconv.Atoi(r.values["tokens"])
		require.NoError(r.t, err, r.position)
		r.balancer.AddUncopied(r.commandTarget(), tokens)
	case "prefill":
		r.balancer.AddPrefill(r.commandTarget(), int(r.number("tokens")))
	case "begin":
		r.balancer.Begin(r.commandTarget(), int(r.number("tokens")), r.now)
	case "end":
		r.balancer.End(r.commandTarget(), int(r.number("tokens")), results[r.words[2]], r.now)
	default:
		return false
	}
	return true
}

// state runs a command by which a target states something.
func (r *scriptRunner) state() bool {
	switch r.words[0] {
	case "accepted":
		r.balancer.Accepted(r.commandTarget(), r.now)
	case "states-leaving":
		r.balancer.StateLeaving(r.commandTarget(), r.now)
	case "states-wait":
		r.balancer.StateWait(r.commandTarget(), time.Duration(r.number("ms"))*time.Millisecond, r.now)
	default:
		return false
	}
	return true
}

// check runs a command that compares a result with the expected one.
func (r *scriptRunner) check() bool {
	tokens := int(r.number("tokens"))
	switch r.words[0] {
	case "choose":
		r.expect(r.balancer.Choose("s", tokens, avoided(r.values["avoid"]), r.now))
	case "copy":
		r.expect(r.balancer.ChooseCopyHolder(r.commandTarget(), tokens, float64(r.number("rate")), nil, r.now))
	case "refuge":
		r.expect(r.balancer.ChooseMigrationDestination(r.commandTarget(), tokens, avoided(r.values["avoid"]), r.now))
	case "resumable":
		require.Equal(r.t, r.values["is"], strconv.FormatBool(r.balancer.Resumable(r.commandTarget(), r.now)), r.position)
	case "leaves":
		require.Equal(r.t, r.values["is"], strconv.FormatBool(r.balancer.Leaving(r.commandTarget(), r.now)), r.position)
	case "deserted":
		require.Equal(r.t, r.values["is"], strconv.FormatBool(r.balancer.ServiceEvacuated("s", r.now)), r.position)
	case "returns":
		require.EqualValues(r.t, r.number("ms"), r.balancer.EarliestReturn("s", r.now).Milliseconds(), r.position)
	default:
		return false
	}
	return true
}

// unlist removes a target from the list until it is added again.
func (r *scriptRunner) unlist(id string) {
	r.list = slices.DeleteFunc(r.list, func(l *wire.Target) bool { return l.GetId() == id })
	r.balancer.Update(r.list, r.now)
}

// commandTarget returns the target that is the command's first argument.
func (r *scriptRunner) commandTarget() *balance.Target { return r.balancer.Target(r.words[1]) }

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

func (r *scriptRunner) addTarget() {
	address, state := "10.0.0.1:1", wire.TargetState_TARGET_STATE_READY
	if r.values["address"] != "" {
		address = r.values["address"]
	}
	if r.values["leaving"] != "" {
		state = wire.TargetState_TARGET_STATE_LEAVING
	}
	r.list = append(r.list, &wire.Target{
		Id: r.words[1], Service: "s", Address: address, FailureDomain: r.values["domain"], Slots: r.number("slots"),
		State: state, ColdMs: r.number("cold"),
	})
	r.balancer.Update(r.list, r.now)
}

func (r *scriptRunner) target(id string) *wire.Target {
	for _, l := range r.list {
		if l.GetId() == id {
			return l
		}
	}
	require.Fail(r.t, "unknown target", r.position)
	return nil
}

func (r *scriptRunner) number(name string) uint32 {
	n, err := strconv.Atoi("0" + r.values[name])
	require.NoError(r.t, err, r.position)
	return uint32(n)
}

// expect compares a choice with the word after "is=", where "a|b" allows either.
func (r *scriptRunner) expect(got *balance.Target) {
	id := "nobody"
	if got != nil {
		id = got.ID()
	}
	require.Contains(r.t, strings.Split(r.values["is"], "|"), id, r.position)
	if r.values["address"] != "" {
		require.Equal(r.t, r.values["address"], got.Address(), r.position)
	}
}

// TestManyInstances: several instances that share their uses of engines distribute a burst
// over the engines. Without sharing, they overload the engines that a stale report shows as
// free.
func TestManyInstances(t *testing.T) {
	const instances, engines, prompt = 8, 9, 3000
	busiest := func(share bool) int {
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
		requests := map[string]int{}
		for n := range 3 * engines {
			b := balancers[n%instances]
			if share {
				b.UpdatePeerUses(sumOthers(balancers, b), instances, time.Second)
			}
			chosen := b.Choose("s", prompt, nil, time.Second)
			b.Begin(chosen, prompt, time.Second)
			b.AddPrefill(chosen, prompt)
			requests[chosen.ID()]++
		}
		maxRequests := 0
		for _, n := range requests {
			maxRequests = max(maxRequests, n)
		}
		return maxRequests
	}
	require.LessOrEqual(t, busiest(true), 4, "instances that share their uses distribute the requests almost evenly")
	require.Greater(t, busiest(false), 4)
}

func sumOthers(all []*balance.Balancer, except *balance.Balancer) []*wire.Use {
	var told [][]*wire.Use
	for _, b := range all {
		if b != except {
			told = append(told, b.LocalUses(0))
		}
	}
	return sumUses(told)
}

// sumUses returns the sums by target of what several instances told.
func sumUses(told [][]*wire.Use) []*wire.Use {
	sums := map[string]*wire.Use{}
	var out []*wire.Use
	for _, uses := range told {
		for _, u := range uses {
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

// TestSimultaneousChoices: sixty instances that choose at the same time, before any of
// them knows of the requests of the others, do not all choose an engine with slightly less
// load. In larger deployments, ten prompts reached one engine within 0.3 s while other
// engines were idle.
func TestSimultaneousChoices(t *testing.T) {
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
		b.UpdatePeerUses(nil, instances, time.Second)
		at[b.Choose("s", prompt, nil, time.Second).ID()]++
	}
	for id, n := range at {
		require.LessOrEqual(t, n, 3*instances/engines, id)
	}
}
