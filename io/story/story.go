// Package story finds what the logs of several processes say of one request,
// and what each process believed at that time.
package story

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

type (
	// Story is what was found. The zero value is ready; Request is set before
	// Read is called.
	Story struct {
		Request string

		lines   []line
		beliefs map[string][]line // By process and kind.
	}

	line struct {
		at      time.Time
		process string
		msg     string
		fields  string
		cause   string
	}

	record struct {
		Time    time.Time      `json:"time"`
		Msg     string         `json:"msg"`
		Request string         `json:"request"`
		Code    string         `json:"code"`
		Status  int            `json:"status"`
		Err     string         `json:"err"`
		Why     string         `json:"why"`
		Rest    jsontext.Value `json:",unknown"`
	}
)

const maxLine = 1 << 20 // Bytes of one line.

// beliefs are the messages that change what a process believes, by their kind:
// the last one of each kind before a request tells what it went by.
var beliefs = map[string]string{
	"Configuration in force.":    "configuration",
	"Scheduler found.":           "scheduler",
	"Scheduler lost":             "scheduler",
	"Leadership gained.":         "leadership",
	"Leadership lost.":           "leadership",
	"Speeds of upstreams.":       "speeds",
	"Silent upstreams changed.":  "silent upstreams",
	"Parts of rates changed.":    "parts of rates",
	"Entry drains.":              "draining",
	"Group changes.":             "group",
	"Log not compacted.":         "disk",
	"Replica joins as a learner": "group",
	"Rollout in progress.":       "rollout",
	"Rollout advances.":          "rollout",
	"Versions in use changed.":   "versions",
}

// causes say in words what the code of a refusal means.
var causes = map[string]string{
	"overloaded":        "no upstream could have begun in time: all places were taken",
	"over-share":        "no upstream could have begun in time, and its client account used more than its share of the pool",
	"account-limit":     "its client account was over its rate",
	"no-upstream":       "no upstream was known that could take it",
	"deadline":          "its time was over before it had a place",
	"deadline-passed":   "its time was over while an upstream ran it",
	"not-ready":         "the entry had no configuration yet",
	"shutting-down":     "the entry was stopping and could not have ended it in time",
	"unauthorized":      "no client account has its key",
	"not-found":         "no route fits its host and path",
	"upstream-lost":     "an upstream that may have run it broke off",
	"crashes-upstreams": "several upstreams crashed under former copies of it",
	"unreachable":       "none of the upstreams that were tried could be reached or took it",
	"bad-request":       "it could not be read",
}

// Read takes the log of one process. Lines that are no JSON, such as those of a
// crash, are passed over; Read returns how many there were.
func (s *Story) Read(process string, r io.Reader) (skipped int, err error) {
	if s.beliefs == nil {
		s.beliefs = map[string][]line{}
	}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		if i := strings.IndexByte(text, '{'); i > 0 {
			text = text[i:] // What collects the logs may put a prefix before each line.
		}
		var rec record
		if err := json.Unmarshal([]byte(text), &rec, json.RejectUnknownMembers(false)); err != nil {
			skipped++
			continue
		}
		s.add(process, &rec, text)
	}
	if err := sc.Err(); err != nil {
		return skipped, fmt.Errorf("story: read %s: %w", process, err)
	}
	return skipped, nil
}

func (s *Story) add(process string, rec *record, text string) {
	l := line{at: rec.Time, process: process, msg: rec.Msg, fields: text, cause: cause(rec)}
	if rec.Request == s.Request {
		s.lines = append(s.lines, l)
		return
	}
	for msg, kind := range beliefs {
		if strings.Contains(rec.Msg, msg) {
			key := process + "\x00" + kind
			s.beliefs[key] = append(s.beliefs[key], l)
		}
	}
}

// cause is what a line says about why a request ended as it did.
func cause(rec *record) string {
	switch {
	case rec.Code != "":
		return cmp.Or(causes[rec.Code], rec.Code)
	case strings.Contains(rec.Msg, "failure passed on"):
		return fmt.Sprintf("an upstream ran it and answered with status %d", rec.Status)
	case rec.Why != "":
		return strings.TrimSuffix(rec.Why+": "+rec.Err, ": ")
	}
	return ""
}

// Cause is why the request ended, by the last line that says so; empty when the
// logs don't tell.
func (s *Story) Cause() string {
	s.sort()
	for _, l := range slices.Backward(s.lines) {
		if l.cause != "" {
			return l.cause
		}
	}
	return ""
}

func (s *Story) sort() {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
}

// Found is the number of lines about the request.
func (s *Story) Found() int { return len(s.lines) }

// Write prints the request's way, the beliefs of the processes on it, and the
// cause.
func (s *Story) Write(w io.Writer) error {
	s.sort()
	var b strings.Builder
	for _, l := range s.lines {
		fmt.Fprintf(&b, "%s %s: %s\n", l.at.Format("15:04:05.000"), l.process, l.fields)
	}
	if len(s.lines) > 0 {
		b.WriteString("\nwhat the processes went by:\n")
		for _, l := range s.believed() {
			fmt.Fprintf(&b, "%s %s: %s\n", l.at.Format("15:04:05.000"), l.process, l.fields)
		}
	}
	fmt.Fprintf(&b, "\ncause: %s\n", cmp.Or(s.Cause(), "not told by these logs"))
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("story: write: %w", err)
	}
	return nil
}

// believed lists the last line of each kind before the request's end, of the
// processes that it met.
func (s *Story) believed() []line {
	met, end := map[string]bool{}, s.lines[len(s.lines)-1].at
	for _, l := range s.lines {
		met[l.process] = true
	}
	var out []line
	for key, list := range s.beliefs {
		if process, _, _ := strings.Cut(key, "\x00"); !met[process] {
			continue
		}
		slices.SortStableFunc(list, func(a, b line) int { return a.at.Compare(b.at) })
		for _, l := range slices.Backward(list) {
			if !l.at.After(end) {
				out = append(out, l)
				break
			}
		}
	}
	slices.SortFunc(out, func(a, b line) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process, b.process)) })
	return out
}
