package rig

// Route returns a route of the pages' example, with the fields given set over it.
func Route(name, host, prefix, service string, over map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "idempotent", "timeout_ms": 8000, "target_latency_ms": 300, "priority": 1,
		"service": service, "max_attempts": 1, "public": false, "sticky": false, "resumable": false, "target_gap_ms": 300,
	}
	for k, v := range over {
		r[k] = v
	}
	return r
}

// Key is the key of the configuration's only tenant.
const Key = "i9n73hh2b9wu3fexd9dn"

// Config returns a configuration with one plain service.
func Config(version int, limits map[string]any, routes ...any) map[string]any {
	l := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	for k, v := range limits {
		l[k] = v
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "wuno96b", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   l,
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{Key}, "priority": 1, "unit": "tokens", "plain_tokens": 200}},
	}
}
