// Package record describes one run in a stand-in's journal.
package record

import "time"

// Record is one request that reached a stand-in.
type Record struct {
	Request  string    `json:"request"`
	Key      string    `json:"key,omitzero"`
	Path     string    `json:"path"`
	Finished bool      `json:"finished"`
	Arrived  time.Time `json:"arrived"`
}
