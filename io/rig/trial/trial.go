// Package trial measures scheduling policies side by side: the same planned
// load, at the same time, on a system of its own for each policy.
package trial

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"azurelane/io/call"
	"azurelane/io/result"
	"azurelane/io/rig/bench"
	"azurelane/io/rig/demand"
	"azurelane/io/rig/load"
	"azurelane/io/rig/record"
	"azurelane/io/rig/score"
	"azurelane/io/rig/tally"
)

// ErrUnknown marks a scenario that does not exist.
var ErrUnknown = errors.New("trial: unknown scenario")

type (
	// Trial is one comparison. Its exported fields are set before use.
	Trial struct {
		Demand   *demand.Demand
		Policies []string // Names of policies, each with :PRESET behind it if wanted.
		Scenes   []string // Empty for all.
		Seeds    []uint64
		Span     time.Duration // Length of each load.
		Progress func(text string)
	}

	// row holds the figures of one policy in one scenario, one for each seed.
	row struct {
		policy string
		scores []score.Score
	}
)

// spare is how long after its deadline a request still waits for its answer.
const spare = time.Second

// Scenes lists the scenarios and what they are.
func Scenes() string {
	var b strings.Builder
	for _, s := range scenes() {
		fmt.Fprintf(&b, "%s: %s\n", s.name, s.what)
	}
	return b.String()
}

// Run measures and returns the tables as Markdown.
func (t *Trial) Run(ctx context.Context) (string, error) {
	capacity := bench.Capacity(t.Demand)
	var b strings.Builder
	for _, s := range scenes() {
		if len(t.Scenes) > 0 && !slices.Contains(t.Scenes, s.name) {
			continue
		}
		rows := make([]row, len(t.Policies))
		for i, p := range t.Policies {
			rows[i].policy = p
		}
		if err := t.seeds(ctx, s, capacity, rows); err != nil {
			return "", err
		}
		write(&b, s, rows)
	}
	if b.Len() == 0 {
		return "", fmt.Errorf("%w, have:\n%s", ErrUnknown, Scenes())
	}
	return fmt.Sprintf("Capacity by the engines' speeds: %.0f requests a second.\n\n", capacity) + b.String(), nil
}

// parallel is how many seeds run at the same time. More would meet the usual
// limit of open files: in overload the baselines keep thousands of requests open.
const parallel = 2

// seeds runs one scenario for all seeds, a few at a time.
func (t *Trial) seeds(ctx context.Context, s scene, capacity float64, rows []row) error {
	start := time.Now()
	scores := make([][]score.Score, len(t.Seeds))
	var wg errgroup.Group
	wg.SetLimit(parallel)
	for i, seed := range t.Seeds {
		wg.Go(func() (err error) {
			scores[i], err = t.scene(ctx, s, seed, capacity)
			return err
		})
	}
	if err := wg.Wait(); err != nil {
		return err
	}
	for i := range t.Seeds {
		for k := range rows {
			rows[k].scores = append(rows[k].scores, scores[i][k])
		}
	}
	t.Progress(fmt.Sprintf("%s took %s", s.name, time.Since(start).Round(time.Second)))
	return nil
}

// scene runs all policies at the same time, so that what else the machine does
// falls on all of them alike.
func (t *Trial) scene(ctx context.Context, s scene, seed uint64, capacity float64) ([]score.Score, error) {
	extra := ""
	if s.factor > 0 {
		extra = t.Demand.Accounts[0].Name
	}
	rate := func(at time.Duration) float64 { return capacity * s.rate(at, t.Span) }
	calls := t.Demand.Draw(seed, t.Span, capacity*s.peak, rate, extra, s.factor)
	scores := make([]score.Score, len(t.Policies))
	var wg errgroup.Group
	for i, p := range t.Policies {
		wg.Go(func() (err error) {
			scores[i], err = t.one(ctx, s, p, calls)
			return err
		})
	}
	if err := wg.Wait(); err != nil {
		return nil, err
	}
	return scores, nil
}

func (t *Trial) one(ctx context.Context, s scene, policy string, calls []call.Call) (score.Score, error) {
	name, preset, _ := strings.Cut(policy, ":")
	b, err := bench.Open(ctx, name, preset, t.Demand)
	if err != nil {
		return score.Score{}, err
	}
	defer b.Close()
	defer func() {
		for _, e := range b.Stands {
			e.Thaw()
		}
	}()
	if s.stale {
		b.Stale()
	}
	if s.fault != nil {
		at := time.AfterFunc(t.Span/3, func() { s.fault(b) })
		defer at.Stop()
	}
	before := tallies(b)
	full := make(chan float64, 1)
	go func() { full <- busy(b, t.Span) }()
	l := &load.Load{URLs: b.URLs, Model: t.Demand.Model, Spare: spare}
	results := l.Run(ctx, calls)
	return t.figures(b, results, <-full, before), nil
}

func (t *Trial) figures(b *bench.Bench, results []result.Result, full float64, before []tally.Tally) score.Score {
	var runs []record.Record
	for _, e := range b.Stands {
		runs = append(runs, e.Journal()...)
	}
	return score.Of(results, runs, full, before, tallies(b), t.Demand.Accounts[0].Name)
}

func tallies(b *bench.Bench) []tally.Tally {
	var list []tally.Tally
	for _, e := range b.Stands {
		list = append(list, e.Tally())
	}
	return list
}

// busy is the part of the engines' places that is taken in the middle of the load.
func busy(b *bench.Bench, span time.Duration) float64 {
	time.Sleep(span / 5)
	from, at := tallies(b), time.Now()
	time.Sleep(span * 3 / 5)
	to, took := tallies(b), time.Since(at)
	var used, have time.Duration
	for i, e := range b.Stands {
		used += to[i].Busy - from[i].Busy
		have += took * time.Duration(e.Slots)
	}
	return used.Seconds() / have.Seconds()
}
