package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	callLimit    = 40 * time.Second // Longer than any fault of the schedule.
	submissions  = 4                // Of one key at most.
	toldNothing  = "nothing"        // The connection broke without an answer.
	chatWhole    = "chat"
	chatStream   = "stream"
	serviceCall  = "service"
	answerLimit  = 1 << 20
	doubledInTen = 2 // Keyed requests of ten that are sent twice at once.
)

type (
	// caller sends requests one after the other and writes down what it is told.
	caller struct {
		name    string
		entries []netip.AddrPort
		client  *http.Client
		rng     *rand.Rand

		mu       sync.Mutex
		attempts []attempt
	}

	// attempt is one submission of one request.
	attempt struct {
		Kind   string
		Key    string // Empty for none.
		Token  string // Unique content of the request.
		Entry  int
		Began  time.Time
		Ended  time.Time
		Told   string // Outcome, or toldNothing.
		Status int
		ID     string // Request id in the answer's header.
		Body   string
		Err    string
	}
)

// run sends requests until ctx ends. Those in flight then still get their answer.
func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		a := attempt{Kind: []string{chatWhole, chatStream, serviceCall}[c.rng.IntN(3)], Token: fmt.Sprintf("%s-%d", c.name, n)}
		if a.Kind == serviceCall || c.rng.IntN(2) == 0 {
			a.Key = "key-" + a.Token
		}
		c.submit(a)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.IntN(20)) * time.Millisecond):
		}
	}
}

// submit sends one request. A keyed one is sent again, at another entry, until
// it has a whole answer; at times twice at once.
func (c *caller) submit(a attempt) {
	first := c.rng.IntN(len(c.entries))
	tokens := 1 + c.rng.IntN(8)
	if c.rng.IntN(5) == 0 {
		tokens = 250
	}
	if a.Key == "" {
		c.send(a, first, tokens)
		return
	}
	var wg sync.WaitGroup
	if c.rng.IntN(10) < doubledInTen {
		wg.Go(func() { c.send(a, (first+1)%len(c.entries), tokens) })
	}
	for i := range submissions {
		if told := c.send(a, (first+i)%len(c.entries), tokens); told == "whole" || told == "failed" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

func (c *caller) send(a attempt, entry, tokens int) string {
	a.Entry, a.Began = entry, time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if err := c.exchange(ctx, &a, tokens); err != nil {
		a.Told, a.Err = toldNothing, err.Error()
	}
	a.Ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a.Told
}

func (c *caller) exchange(ctx context.Context, a *attempt, tokens int) error {
	path, body := "/svc/notes/"+a.Token, a.Token
	if a.Kind != serviceCall {
		path = chatPath
		body = fmt.Sprintf(`{"model":"demo","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"echo %s"}]}`, a.Kind == chatStream, tokens, a.Token)
	}
	r, err := request(ctx, c.entries[a.Entry], path, a.Key, body)
	if err != nil {
		return err
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.ID = resp.StatusCode, resp.Header.Get("Azurelane-Request")
	data, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	a.Body = string(data)
	if err != nil {
		return err
	}
	a.Told = outcome(resp)
	return nil
}
