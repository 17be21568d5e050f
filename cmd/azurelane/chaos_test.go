package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// chaos kills, freezes and stops processes by a seeded schedule.
type chaos struct {
	entries  []*proc
	controls []*proc
	standins []*proc // Frozen only: their journals live in memory.
	rng      *rand.Rand
	done     []string
}

// run begins one fault after the other until ctx ends; several may last at the
// same time. Every process runs again when it returns.
func (c *chaos) run(ctx context.Context) error {
	var g errgroup.Group
	for ctx.Err() == nil {
		g.Go(c.pick())
		select {
		case <-ctx.Done():
		case <-time.After(c.span(300, 1300)):
		}
	}
	return g.Wait()
}

func (c *chaos) pick() func() error {
	entry, control, standin := c.of(c.entries), c.of(c.controls), c.of(c.standins)
	short, long := c.span(0, 300), c.span(300, 3500)
	kinds := []struct {
		name string
		do   func() error
	}{
		{"kill " + entry.name, func() error { return entry.crash(syscall.SIGKILL, short) }},
		{"kill " + entry.name, func() error { return entry.crash(syscall.SIGKILL, long) }},
		{"stop " + entry.name, func() error { return entry.crash(syscall.SIGTERM, short) }},
		{"freeze " + entry.name, func() error { return entry.freeze(long) }},
		{"kill " + control.name, func() error { return control.crash(syscall.SIGKILL, short) }},
		{"freeze " + control.name, func() error { return control.freeze(long) }},
		{"freeze " + standin.name, func() error { return standin.freeze(short) }},
	}
	k := kinds[c.rng.IntN(len(kinds))]
	c.done = append(c.done, k.name)
	return func() error {
		if err := k.do(); err != nil {
			return fmt.Errorf("%s: %w", k.name, err)
		}
		return nil
	}
}

func (c *chaos) of(list []*proc) *proc { return list[c.rng.IntN(len(list))] }

func (c *chaos) span(from, to int) time.Duration {
	return time.Duration(from+c.rng.IntN(to-from)) * time.Millisecond
}
