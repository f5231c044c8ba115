package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long the operator waits for a response before it goes on to another node.
const callTimeout = time.Second

// operator sends orders as the pages say: to one node after another until one acknowledges.
type operator struct {
	rec   *record
	acked int // the highest version that was acknowledged
}

// call makes one call on a connection of its own, which ends with it.
func (o *operator) call(method string, m *machine, path, body string) (int, string) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+m.ip+":"+controlPort+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// order sends an order to the nodes in turn until one acknowledges it or the time is over.
func (o *operator) order(method, path, body, what string, nodes []*machine, within time.Duration) bool {
	pause := 50 * time.Millisecond
	for end := time.Now().Add(within); time.Now().Before(end); {
		for _, m := range nodes {
			status, text := o.call(method, m, path, body)
			if status >= 200 && status < 300 {
				o.rec.line("operator: %s at %s: %d, acknowledged", what, m.name, status)
				return true
			}
			o.rec.line("operator: %s at %s: %d %s", what, m.name, status, shorten(text))
			if status >= 400 && status < 500 && status != 408 && status != 429 {
				return false
			}
			time.Sleep(pause)
			pause = min(2*pause, 500*time.Millisecond)
		}
	}
	return false
}

// put sends a configuration.
func (o *operator) put(c configuration, nodes []*machine, within time.Duration) bool {
	body, _ := json.Marshal(c)
	if !o.order(http.MethodPut, "/vanillaward/config", string(body), fmt.Sprintf("version %d", c.Version), nodes, within) {
		return false
	}
	o.acked = max(o.acked, c.Version)
	return true
}

// readBack reads the configuration from all nodes again and again for a time. It returns the highest version that
// came, 0 if none did, and the lowest.
func (o *operator) readBack(nodes []*machine, during time.Duration) (highest, lowest int) {
	last := map[string]string{}
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range nodes {
			status, text := o.call(http.MethodGet, m, "/vanillaward/config", "")
			said := fmt.Sprintf("%d %s", status, shorten(text))
			if status == http.StatusOK {
				var c configuration
				if json.Unmarshal([]byte(text), &c) == nil {
					said = fmt.Sprintf("%d, version %d", status, c.Version)
					highest = max(highest, c.Version)
					if lowest == 0 || c.Version < lowest {
						lowest = c.Version
					}
				}
			}
			if last[m.name] != said {
				last[m.name] = said
				o.rec.line("operator: reads the configuration at %s: %s", m.name, said)
			}
		}
	}
	return highest, lowest
}

func shorten(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	if len(text) > 120 {
		return text[:120] + "..."
	}
	return text
}

// configuration is a configuration in the operator's format.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []routeSpec    `json:"routes"`
	Services []serviceSpec  `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenantSpec   `json:"tenants,omitempty"`
}

type routeSpec struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"path_prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeout_ms"`
	Objective int    `json:"latency_target_ms"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"max_attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
	Gap       int    `json:"gap_target_ms,omitempty"`
}

type serviceSpec struct {
	Name     string         `json:"name"`
	Health   string         `json:"health_path"`
	MaxConns int            `json:"max_conns"`
	Protocol string         `json:"protocol"`
	TLS      bool           `json:"tls"`
	Engine   map[string]any `json:"engine,omitempty"`
}

type tenantSpec struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// Names of the plain service of the cases.
const (
	host    = "park.example"
	service = "agenda"
)

// plainConfiguration has one plain service with a safe and an unsafe route.
func plainConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Routes: []routeSpec{
			{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: "safe", Timeout: 1500, Objective: 150, Priority: 2, Service: service, Attempts: 2, Public: true},
			{Name: "booking", Host: host, Prefix: "/booking/", Kind: "unsafe", Timeout: 1500, Objective: 150, Priority: 2, Service: service, Attempts: 2, Public: true},
		},
		Services: []serviceSpec{{Name: service, Health: "/health", MaxConns: 110, Protocol: "h1"}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
