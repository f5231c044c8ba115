package route_test

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillaward/vanillaward/internal/route"
)

func example() *route.Configuration {
	return &route.Configuration{
		Number: 3,
		Routes: []route.Spec{
			{Name: "root", Host: "one.test", Prefix: "/", KindValid: true, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}},
			{Name: "a", Host: "one.test", Prefix: "/a/", KindValid: true, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}},
			{Name: "ab", Host: "one.test", Prefix: "/a/b/", KindValid: true, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 0}, {Service: "t", Weight: 3}, {Service: "u", Weight: 1}, {Service: "s", Weight: 0}}},
			{Name: "two", Host: "Two.test", Prefix: "/a/", KindValid: true, Timeout: time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}},
		},
		Services:      []route.ServiceSpec{{Name: "s"}, {Name: "t"}, {Name: "u"}},
		Organisations: []route.OrganisationSpec{{Name: "o", Keys: []string{"k1", "k2"}}, {Name: "p", Keys: []string{"k3"}}}, RequiresKeys: true,
	}
}

// TestMatch checks the route of each host and path in a file against the name that follows
// them there.
func TestMatch(t *testing.T) {
	table, found := route.Build(example())
	require.NoError(t, found.Err())
	f, err := os.Open("testdata/match.txt")
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		words := strings.Fields(scanner.Text())
		got, ok := table.Match(words[0], words[1])
		name := "none"
		if ok {
			name = got.Name()
		}
		require.Equal(t, words[2], name, scanner.Text())
	}
	require.NoError(t, scanner.Err())
}

// TestPick: services get requests in proportion to their weights, and a service with
// weight 0 gets none.
func TestPick(t *testing.T) {
	table, found := route.Build(example())
	require.NoError(t, found.Err())
	r, _ := table.Match("one.test", "/a/b/c")
	counts := map[string]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"t": 750, "u": 250}, counts)
	require.Equal(t, "u", r.Pick(0.9999999999999999))
}

// TestKeys: a key identifies its organisation.
func TestKeys(t *testing.T) {
	table, found := route.Build(example())
	require.NoError(t, found.Err())
	o, ok := table.Organisation("k2")
	require.True(t, ok)
	require.Equal(t, "o", o.Name())
	_, ok = table.Organisation("")
	require.False(t, ok)
	require.True(t, table.RequiresKeys())
}

// TestFindings: each fault on its own makes a configuration invalid.
func TestFindings(t *testing.T) {
	for name, mutate := range map[string]func(*route.Configuration){
		"number":               func(c *route.Configuration) { c.Number = 0 },
		"unknown service":      func(c *route.Configuration) { c.Routes[0].Shares[0].Service = "x" },
		"same host and prefix": func(c *route.Configuration) { c.Routes[3].Host = "one.test" },
		"no weight":            func(c *route.Configuration) { c.Routes[0].Shares[0].Weight = 0 },
		"negative weight":      func(c *route.Configuration) { c.Routes[2].Shares[2].Weight = -1 },
		"no timeout":           func(c *route.Configuration) { c.Routes[1].Timeout = 0 },
		"unknown kind":         func(c *route.Configuration) { c.Routes[1].KindValid = false },
		"prefix":               func(c *route.Configuration) { c.Routes[1].Prefix = "/a" },
		"shared key":           func(c *route.Configuration) { c.Organisations[1].Keys[0] = "k1" },
		"duplicate service":    func(c *route.Configuration) { c.Services[1].Name = "s" },
	} {
		c := example()
		mutate(c)
		table, found := route.Build(c)
		require.False(t, found.Empty(), name)
		require.Nil(t, table, name)
	}
}
