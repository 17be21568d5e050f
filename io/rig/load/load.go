// Package load sends open-loop load: arrival times are fixed beforehand, so
// that a slow system can't slow the callers down and hide its waiting.
package load

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"azurelane/io/call"
	"azurelane/io/result"
)

// Load sends planned requests to entries. Its exported fields are set before use.
type Load struct {
	URLs  []string // Of the entries, as http://ADDRESS; requests go to them in turn.
	Model string
	// Spare is how long after its deadline a request still waits for an answer.
	Spare time.Duration

	client *http.Client
}

const (
	bytesPerToken = 4
	prefixBytes   = 1024 // Of a prompt, shared by all with the same prefix.
	connections   = 4096
)

// Run sends the calls at their times and returns how each ended, in the order
// of the calls. When ctx ends, those that were not sent have no outcome.
func (l *Load) Run(ctx context.Context, calls []call.Call) []result.Result {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer l.client.CloseIdleConnections()
	results := make([]result.Result, len(calls))
	var wg sync.WaitGroup
	start := time.Now()
	for n, i := range byTime(calls) {
		results[i] = result.Result{Call: calls[i], Outcome: "none"}
		select {
		case <-ctx.Done():
			continue
		case <-time.After(time.Until(start.Add(calls[i].At))):
		}
		url := l.URLs[n%len(l.URLs)]
		wg.Go(func() { l.one(ctx, url, start.Add(calls[i].At), &results[i]) })
	}
	wg.Wait()
	return results
}

// byTime lists the places of the calls in the order of their times.
func byTime(calls []call.Call) []int {
	order := make([]int, len(calls))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(calls[a].At, calls[b].At) })
	return order
}

func (l *Load) one(ctx context.Context, url string, due time.Time, res *result.Result) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(res.Deadline+l.Spare))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(l.body(&res.Call)))
	if err != nil {
		return
	}
	r.Header.Set("Authorization", "Bearer "+res.Account+"-key")
	r.Header.Set("Azurelane-Tier", res.Tier)
	r.Header.Set("Azurelane-Deadline", max(time.Until(due.Add(res.Deadline)), time.Millisecond).String())
	if res.Key != "" {
		r.Header.Set("Idempotency-Key", res.Key)
	}
	res.Sent = time.Now()
	resp, err := l.client.Do(r)
	if err == nil {
		read(resp, due, res)
		_ = resp.Body.Close()
	}
	res.Total = time.Since(due)
}

// body makes a prompt of the wanted size. What differs between requests with
// the same prefix stands behind the prefix.
func (l *Load) body(c *call.Call) string {
	n := int(c.Prompt) * bytesPerToken
	prefix := strings.Repeat(fmt.Sprintf("%s %016x ", c.Kind, c.Prefix), prefixBytes/16)
	prompt := prefix[:min(n, prefixBytes)]
	if rest := n - len(prompt); rest > 0 {
		prompt += strings.Repeat(fmt.Sprintf("%016x ", uint64(c.At)), rest/17+1)[:rest]
	}
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":true,"max_tokens":%d}`, l.Model, prompt, c.Answer)
}
