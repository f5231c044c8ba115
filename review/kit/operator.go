package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// operator sends and reads configurations as the pages say: at any node, and at another one after a
// failure, a 5xx, or a second without a response.
type operator struct {
	record *record
	client *http.Client
}

func newOperator(rec *record) *operator {
	return &operator{record: rec, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call makes one call at one node and returns the status, 0 without a response, and the body.
func (o *operator) call(method, address string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+address+"/vanillaward/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// put sends a configuration until it gets a clear answer, and returns the status, 0 if none came in
// time.
func (o *operator) put(limit time.Duration, config map[string]any, nodes ...*node) int {
	body, err := json.Marshal(config)
	if err != nil {
		return 0
	}
	for begun, i := time.Now(), 0; time.Since(begun) < limit; i++ {
		n := nodes[i%len(nodes)]
		status, _ := o.call(http.MethodPut, n.control(), body)
		o.record.note("operator: PUT version %v at %s: %d", config["version"], n.name, status)
		if status == 200 || status >= 400 && status < 500 {
			return status
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0
}

// read reads the configuration until a node answers with 200, and returns its version; 0 if none did in time.
func (o *operator) read(limit time.Duration, nodes ...*node) uint64 {
	for begun, i := time.Now(), 0; time.Since(begun) < limit; i++ {
		n := nodes[i%len(nodes)]
		status, data := o.call(http.MethodGet, n.control(), nil)
		var got struct {
			Version uint64 `json:"version"`
		}
		if status == 200 && json.Unmarshal(data, &got) == nil {
			o.record.note("operator: GET at %s: 200, version %d", n.name, got.Version)
			return got.Version
		}
		if i%10 < len(nodes) {
			o.record.note("operator: GET at %s: %d", n.name, status)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return 0
}
