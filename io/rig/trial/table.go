package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"azurelane/io/rig/score"
)

const head = `| policy | urgent % | normal % | bulk % | first token urgent | first token normal | wasted prefill % | busy % | others % | shed | late | lost | refused after, half and p95 |
|---|---|---|---|---|---|---|---|---|---|---|---|---|
`

// write adds one scenario's table: each figure is the mean over the seeds, with
// the least and the greatest behind it.
func write(b *strings.Builder, s scene, rows []row) {
	fmt.Fprintf(b, "### %s: %s\n\n", s.name, s.what)
	b.WriteString(head)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s |", r.policy)
		for level := range score.Levels {
			cell(b, r, good(level), "%.1f")
		}
		cell(b, r, func(s score.Score) float64 { return ms(s.First) }, "%.0f ms")
		cell(b, r, func(s score.Score) float64 { return ms(s.FirstNormal) }, "%.0f ms")
		cell(b, r, func(s score.Score) float64 { return 100 * s.Wasted }, "%.2f")
		cell(b, r, func(s score.Score) float64 { return 100 * s.Busy }, "%.1f")
		cell(b, r, func(s score.Score) float64 { return 100 * s.Others }, "%.1f")
		fmt.Fprintf(b, " %d | %d | %d |", sum(r, func(s score.Score) int { return s.Shed }),
			sum(r, func(s score.Score) int { return s.Late }), sum(r, func(s score.Score) int { return s.Lost }))
		fmt.Fprintf(b, " %.1f, %.1f ms |\n", mean(r, func(s score.Score) float64 { return ms(s.SaidHalf) }),
			mean(r, func(s score.Score) float64 { return ms(s.Said) }))
	}
	plot(b, rows)
	for _, r := range rows {
		fmt.Fprintf(b, "%s refused: %s\n", r.policy, reasons(r))
	}
	b.WriteString("\n")
}

// plot draws the goodput of each policy and tier as bars.
func plot(b *strings.Builder, rows []row) {
	const width = 50
	b.WriteString("\n```\n")
	for level, name := range []string{"urgent", "normal", "bulk"} {
		for _, r := range rows {
			p := mean(r, good(level))
			fmt.Fprintf(b, "%-7s %-13s |%-*s| %5.1f %%\n", name, r.policy, width, strings.Repeat("#", int(p*width/100)), p)
		}
	}
	b.WriteString("```\n\n")
}

func cell(b *strings.Builder, r row, f func(score.Score) float64, format string) {
	low, high := f(r.scores[0]), f(r.scores[0])
	for _, s := range r.scores {
		low, high = min(low, f(s)), max(high, f(s))
	}
	text := fmt.Sprintf(format, mean(r, f))
	if low != high {
		bare := strings.TrimSuffix(format, " ms")
		text += fmt.Sprintf(" ("+bare+"–"+bare+")", low, high)
	}
	fmt.Fprintf(b, " %s |", text)
}

func mean(r row, f func(score.Score) float64) (m float64) {
	for _, s := range r.scores {
		m += f(s) / float64(len(r.scores))
	}
	return m
}

func sum(r row, f func(score.Score) int) (n int) {
	for _, s := range r.scores {
		n += f(s)
	}
	return n
}

func reasons(r row) string {
	all := map[string]int{}
	for _, s := range r.scores {
		for code, n := range s.Refused {
			all[code] += n
		}
	}
	var list []string
	for _, code := range slices.Sorted(maps.Keys(all)) {
		list = append(list, fmt.Sprintf("%s %d", code, all[code]))
	}
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// good is the goodput of one tier.
func good(level int) func(score.Score) float64 {
	return func(s score.Score) float64 { return percent(s.Good[level], s.Asked[level]) }
}

func percent(part, all int) float64 {
	if all == 0 {
		return 100
	}
	return 100 * float64(part) / float64(all)
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
