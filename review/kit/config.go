package main

// Names of the small deployment's configuration.
const (
	hostName    = "ficu95.example"
	agenda      = "agenda-app"
	engines     = "asistente-lm"
	pathBooking = "/pule252/"
	pathLookup  = "/rapu33/"
	pathRecap   = "/lohu930/"
)

// tenant returns one entry of a configuration's tenants.
func tenant(name string, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}

// configuration returns a complete configuration as the operator sends it.
func configuration(version int, tenants ...map[string]any) map[string]any {
	config := map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-booking", "host": hostName, "path_prefix": pathBooking, "kind": "unsafe", "timeout_ms": 800, "latency_target_ms": 150, "priority": 2, "service": agenda, "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-lookup", "host": hostName, "path_prefix": pathLookup, "kind": "safe", "timeout_ms": 800, "latency_target_ms": 150, "priority": 2, "service": agenda, "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
			{"name": "r-recap", "host": hostName, "path_prefix": pathRecap, "kind": "stream", "timeout_ms": 39000, "latency_target_ms": 1800, "priority": 0, "service": engines, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_target_ms": 180},
		},
		"services": []map[string]any{
			{"name": agenda, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			{"name": engines, "health_path": "/health", "max_conns": 282, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kv_capacity": 34304, "kv_token_bytes": 35136.0, "link_mbps": 5100.0, "moves": true, "backups": true, "stride": 4,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	return config
}
