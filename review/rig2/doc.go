package main

import "encoding/json"

const (
	host      = "wuny96.example"
	engines   = "dele69a"
	plainPool = "xano55b"
	apiKey    = "i9n73hh2b9wu3fexd9dn"
	tenant    = "hule930"
)

// route describes a route of a configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"kind"`
	Timeout  float64 `json:"timeout_ms"`
	Aim      float64 `json:"target_latency_ms"`
	Gap      float64 `json:"target_gap_ms,omitempty"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Public   bool    `json:"public"`
	Sticky   bool    `json:"sticky"`
	Resume   bool    `json:"resumable"`
}

// routes are those of the sheet.
func routes() []route {
	return []route{
		{Name: "r-full", Host: host, Prefix: "/pufi791/", Kind: "streaming", Timeout: 10000, Aim: 600, Gap: 300, Service: engines, Attempts: 2, Sticky: true, Resume: true},
		{Name: "r-quote", Host: host, Prefix: "/bopu901/", Kind: "streaming", Timeout: 8000, Aim: 300, Gap: 300, Priority: 1, Service: engines, Attempts: 1, Sticky: true},
		{Name: "r-list", Host: host, Prefix: "/lohu930/", Kind: "streaming", Timeout: 2500, Aim: 400, Gap: 300, Priority: 2, Service: engines, Attempts: 2, Sticky: true, Resume: true},
		{Name: "r-checkin", Host: host, Prefix: "/cuti104/", Kind: "non_idempotent", Timeout: 1000, Aim: 100, Priority: 2, Service: plainPool, Attempts: 1},
		{Name: "r-alert", Host: host, Prefix: "/lo20/", Kind: "idempotent", Timeout: 1000, Aim: 100, Priority: 2, Service: plainPool, Attempts: 2},
	}
}

// document returns a configuration like that of the site.
func document(version int, list []route, more ...string) []byte {
	doc := map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{
			{"name": engines, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 11, "kv_capacity_tokens": 444000, "kv_token_bytes": 131072, "link_mbps": 1100000.0, "moves": true, "backups": true,
				"stride": 9, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": plainPool, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 437009, "burst": 437009}},
	}
	for _, name := range more {
		doc["services"] = append(doc["services"].([]map[string]any), map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false})
	}
	text, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return text
}
