package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// entry is one runner of the platform's list.
type entry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"cold_left_ms"`
	Stage      string `json:"stage,omitempty"`
	Models     any    `json:"models,omitempty"`
	Born       int64  `json:"born"`
}

// platform is the platform's list of runners.
type platform struct {
	address string
	server  *http.Server
	mu      sync.Mutex // guards entries
	entries []entry
}

func newPlatform(_ *record, ip string) (*platform, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{address: listener.Addr().String()}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) close() { _ = p.server.Close() }

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	zone := r.URL.Query().Get("zone")
	p.mu.Lock()
	out := []entry{}
	for _, e := range p.entries {
		if zone == "" || e.Zone == zone {
			out = append(out, e)
		}
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": out, "next": nil})
}

func (p *platform) list(e entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = append(p.entries, e)
}
