// Package ctrl is a control replica: it keeps the replicated state and
// answers the entries' beats with the configuration in force.
package ctrl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"azurelane/core/state"
	"azurelane/core/wire"
	"azurelane/io/disk"
)

// CompactAfter is the number of log entries after which a snapshot replaces
// them, so that a restart reads at most that many.
const CompactAfter = 1000

// Ctrl is one control replica. Open makes it.
type Ctrl struct {
	Name string
	Log  logr.Logger

	mu    sync.Mutex
	log   *disk.Log
	state state.State
	index uint64
	since int // Entries since the snapshot.
	beats map[string]heard
}

type heard struct {
	*wire.Beat
	at time.Time
}

// Open reads the data folder and brings the state up to its last entry.
func Open(name, dir string, log logr.Logger) (*Ctrl, error) {
	l, snap, recs, err := disk.Open(dir)
	if err != nil {
		return nil, fmt.Errorf("ctrl: %w", err)
	}
	c := &Ctrl{Name: name, Log: log, log: l, beats: map[string]heard{}}
	if snap != nil {
		if err := c.state.Load(snap.GetData()); err != nil {
			return nil, fmt.Errorf("ctrl: %w", err)
		}
		c.index = snap.GetIndex()
	}
	for _, r := range recs {
		e := r.GetEntry()
		if e.GetIndex() <= c.index {
			continue
		}
		if err := c.apply(e, nil); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Handle answers one frame of a peer.
func (c *Ctrl) Handle(_ context.Context, f *wire.Frame) (*wire.Frame, error) {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Command:
		r, err := c.Propose(b.Command)
		if err != nil {
			return nil, err
		}
		return &wire.Frame{Body: &wire.Frame_Result{Result: r}}, nil
	case *wire.Frame_Beat:
		return &wire.Frame{Body: &wire.Frame_BeatReply{BeatReply: c.beat(b.Beat)}}, nil
	case *wire.Frame_StatusQuery:
		return &wire.Frame{Body: &wire.Frame_Status{Status: c.status()}}, nil
	}
	return nil, &wire.Fault{Code: "unsupported", Text: fmt.Sprintf("ctrl: %T", f.GetBody())}
}

// Propose appends a command to the log and returns the state machine's result.
func (c *Ctrl) Propose(cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now().UnixMicro()
	if f := cmd.GetFinish(); f != nil {
		f.NowUs = now
	}
	if c := cmd.GetClaim(); c != nil {
		c.NowUs = now
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, fmt.Errorf("ctrl: marshal command: %w", err)
	}
	e := &wire.LogEntry{Index: c.index + 1, Command: data}
	if err := c.log.Append(&wire.Record{Kind: &wire.Record_Entry{Entry: e}}); err != nil {
		return nil, fmt.Errorf("ctrl: %w", err)
	}
	var r wire.Result
	if err := c.apply(e, &r); err != nil {
		return nil, err
	}
	if c.since >= CompactAfter {
		if err := c.compact(); err != nil {
			return nil, err
		}
	}
	return &r, nil
}

func (c *Ctrl) apply(e *wire.LogEntry, out *wire.Result) error {
	var cmd wire.Command
	if err := proto.Unmarshal(e.GetCommand(), &cmd); err != nil {
		return fmt.Errorf("ctrl: entry %d: %w", e.GetIndex(), err)
	}
	r := c.state.Apply(&cmd)
	c.index = e.GetIndex()
	c.since++
	if out != nil {
		proto.Merge(out, r)
		out.Index = e.GetIndex()
	}
	return nil
}

func (c *Ctrl) compact() error {
	data, err := c.state.Save()
	if err != nil {
		return fmt.Errorf("ctrl: %w", err)
	}
	if err := c.log.Compact(&wire.Snapshot{Index: c.index, Data: data}); err != nil {
		return fmt.Errorf("ctrl: %w", err)
	}
	c.since = 0
	return nil
}

func (c *Ctrl) beat(b *wire.Beat) *wire.BeatReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beats[b.GetNode()] = heard{b, time.Now()}
	r := &wire.BeatReply{Version: c.state.Version()}
	if r.GetVersion() > b.GetVersion() {
		r.Document = c.state.Document()
	}
	return r
}

func (c *Ctrl) status() *wire.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &wire.Status{
		Replica: c.Name, Leader: c.Name, Commit: c.index, Version: c.state.Version(), Change: c.state.Change(),
		Document: c.state.Document(), Voters: []string{c.Name}, Claims: uint64(c.state.Claims()),
	}
	for _, h := range c.beats {
		s.Nodes = append(s.Nodes, &wire.NodeStatus{Beat: h.Beat, AgeUs: time.Since(h.at).Microseconds()})
	}
	return s
}

// Close closes the log.
func (c *Ctrl) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.Close()
}
