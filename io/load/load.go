// Package load sends open-loop load: arrival times are fixed beforehand, so
// that a slow system can't slow the callers down and hide its waiting.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Load is one run. Its exported fields are set before use.
	Load struct {
		URL     string // Of an entry, as http://ADDRESS.
		Key     string
		Model   string
		Rate    float64 // Requests a second.
		Time    time.Duration
		Seed    uint64
		Tier    string
		Prompt  int // Bytes.
		Answer  int // Tokens.
		Stream  bool
		Timeout time.Duration

		mu       sync.Mutex
		outcomes map[string]int
		whole    *hdrhistogram.Histogram
	}
)

const (
	histMax    = int64(time.Hour / time.Microsecond)
	histDigits = 3
)

// Run sends the load and returns the report as text.
func (l *Load) Run(ctx context.Context) (string, error) {
	l.outcomes = map[string]int{}
	l.whole = hdrhistogram.New(1, histMax, histDigits)
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed)) //nolint:gosec // A seeded run, no secret.
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	var wg sync.WaitGroup
	start := time.Now()
	for at := time.Duration(0); at < l.Time; at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second)) {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(time.Until(start.Add(at))):
		}
		due := start.Add(at)
		wg.Go(func() { l.one(ctx, client, due) })
	}
	wg.Wait()
	return l.report(), nil
}

func (l *Load) one(ctx context.Context, client *http.Client, due time.Time) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		l.Model, l.Stream, l.Answer, strings.Repeat("x", l.Prompt))
	ctx, cancel := context.WithTimeout(ctx, l.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		l.note("bad-request", due)
		return
	}
	r.Header.Set("Authorization", "Bearer "+l.Key)
	if l.Tier != "" {
		r.Header.Set("Azurelane-Tier", l.Tier)
	}
	resp, err := client.Do(r)
	if err != nil {
		l.note("no-answer", due)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	l.note(outcome(resp), due)
}

func (l *Load) note(outcome string, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	if outcome == "whole" {
		_ = l.whole.RecordValue(time.Since(due).Microseconds())
	}
}

func (l *Load) report() string {
	var b strings.Builder
	for name, n := range l.outcomes {
		fmt.Fprintf(&b, "%s %d\n", name, n)
	}
	for _, q := range []float64{50, 95, 99} {
		fmt.Fprintf(&b, "whole p%.0f %s\n", q, time.Duration(l.whole.ValueAtQuantile(q))*time.Microsecond)
	}
	return b.String()
}
