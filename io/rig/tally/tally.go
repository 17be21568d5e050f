// Package tally counts what a stand-in engine did.
package tally

import "time"

// Tally holds the counts of one engine since its start.
type Tally struct {
	Started   int64         `json:"started"`
	Finished  int64         `json:"finished"`
	Cancelled int64         `json:"cancelled"`
	Prompt    int64         `json:"prompt-tokens"`  // Prefilled, without cached ones.
	Wasted    int64         `json:"wasted-prefill"` // Prefilled for requests that did not finish.
	Generated int64         `json:"generated-tokens"`
	Busy      time.Duration `json:"busy"` // Sum over the places in the batch of the time they were taken.
}
