// Package demand reads workload files and draws planned requests from them.
package demand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"

	"azurelane/core/codec"
	"azurelane/io/call"
)

// ErrInvalid marks a workload that parses but can't be drawn from.
var ErrInvalid = errors.New("demand: invalid")

type (
	// Demand is one workload: who asks, and for what.
	Demand struct {
		Model    string    `json:"model"`
		Accounts []account `json:"client-accounts"`
		Kinds    []kind    `json:"kinds"`
	}

	account struct {
		Name string  `json:"name"` // Its bearer key is the name with -key behind it.
		Part float64 `json:"part"` // Of all requests, against the other accounts' parts.
	}

	kind struct {
		Name     string        `json:"name"`
		Tier     string        `json:"tier"`
		Level    int           `json:"level"`             // 0 urgent, 1 normal, 2 bulk.
		Part     float64       `json:"part"`              // Of all requests, against the other kinds' parts.
		Prompt   [2]int64      `json:"prompt-tokens"`     // Least and most, drawn evenly on a logarithmic scale.
		Answer   [2]int64      `json:"answer-tokens"`     // Likewise.
		Prefixes int           `json:"prefixes,omitzero"` // Beginnings that the prompts share; zero for none.
		Deadline time.Duration `json:"deadline"`
		Keyed    bool          `json:"keyed,omitzero"` // With an idempotency key each.
	}
)

// Load reads a workload file.
func Load(path string) (*Demand, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("demand: read: %w", err)
	}
	var d Demand
	if err := codec.Read(data, &d); err != nil {
		return nil, fmt.Errorf("demand: %s: %w", path, err)
	}
	if err := d.check(); err != nil {
		return nil, fmt.Errorf("demand: %s: %w", path, err)
	}
	return &d, nil
}

func (d *Demand) check() error {
	if d.Model == "" || len(d.Accounts) == 0 || len(d.Kinds) == 0 {
		return fmt.Errorf("%w: expected a model, client accounts and kinds", ErrInvalid)
	}
	for _, a := range d.Accounts {
		if a.Part <= 0 {
			return fmt.Errorf("%w: /client-accounts/%s/part: expected more than 0", ErrInvalid, a.Name)
		}
	}
	for _, k := range d.Kinds {
		if k.Part <= 0 || k.Prompt[0] < 1 || k.Prompt[1] < k.Prompt[0] || k.Answer[0] < 1 || k.Answer[1] < k.Answer[0] || k.Deadline <= 0 {
			return fmt.Errorf("%w: /kinds/%s: expected a part, a deadline and sizes from least to most", ErrInvalid, k.Name)
		}
	}
	return nil
}

// Draw plans the requests of one run. Rate is the number of requests a second
// at a time after the start and peak its maximum. One account may send more
// than its part: extra is its name and the factor. Equal arguments give equal
// plans.
func (d *Demand) Draw(seed uint64, span time.Duration, peak float64, rate func(time.Duration) float64, extra string, factor float64) []call.Call {
	rng := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // A seeded run, no secret.
	var list []call.Call
	base := d.plan(rng, span, peak, rate, func(a account) float64 { return a.Part })
	list = append(list, base...)
	if extra != "" {
		more := func(t time.Duration) float64 { return rate(t) * (factor - 1) * d.part(extra) }
		list = append(list, d.plan(rng, span, peak*(factor-1)*d.part(extra), more, func(a account) float64 {
			if a.Name == extra {
				return 1
			}
			return 0
		})...)
	}
	for i := range list {
		if list[i].Key != "" {
			list[i].Key = fmt.Sprintf("load-%d-%d", seed, i)
		}
	}
	return list
}

func (d *Demand) part(name string) float64 {
	var all, own float64
	for _, a := range d.Accounts {
		all += a.Part
		if a.Name == name {
			own = a.Part
		}
	}
	return own / all
}

// plan draws arrivals at the peak rate and leaves out those over the rate.
func (d *Demand) plan(rng *rand.Rand, span time.Duration, peak float64, rate func(time.Duration) float64, part func(account) float64) []call.Call {
	var list []call.Call
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / peak * float64(time.Second))
		if at >= span {
			return list
		}
		c := d.one(rng, pick(rng, d.Accounts, part).Name)
		if rng.Float64()*peak < rate(at) {
			c.At = at
			list = append(list, c)
		}
	}
}

func (d *Demand) one(rng *rand.Rand, account string) call.Call {
	k := pick(rng, d.Kinds, func(k kind) float64 { return k.Part })
	c := call.Call{
		Account: account, Kind: k.Name, Tier: k.Tier, Level: k.Level, Deadline: k.Deadline,
		Prompt: between(rng, k.Prompt), Answer: between(rng, k.Answer), Prefix: rng.Uint64(),
	}
	if k.Prefixes > 0 {
		// Skewed, as some beginnings are far more usual than others.
		c.Prefix = uint64(float64(k.Prefixes) * rng.Float64() * rng.Float64())
	}
	if k.Keyed {
		c.Key = "keyed"
	}
	return c
}

func pick[T any](rng *rand.Rand, list []T, part func(T) float64) T {
	var all float64
	for _, x := range list {
		all += part(x)
	}
	at := rng.Float64() * all
	for _, x := range list {
		if at -= part(x); at < 0 {
			return x
		}
	}
	return list[len(list)-1]
}

func between(rng *rand.Rand, r [2]int64) int64 {
	low, high := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int64(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}

// Mean returns the mean sizes of a request, in tokens.
func (d *Demand) Mean() (prompt, answer float64) {
	const draws = 20000
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // A seeded run, no secret.
	for range draws {
		c := d.one(rng, "")
		prompt += float64(c.Prompt) / draws
		answer += float64(c.Answer) / draws
	}
	return prompt, answer
}
