package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"azurelane/io/story"
)

const usageExplain = `Tell from the logs of several processes what became of one request: its lines in
order, what each process that it met went by at that time, and the cause of its
end in words. Give the logs of the entries and of control; the names of the
files name the processes.

It ends with code 1 when no line of the logs is about the request.`

var errNoLine = errors.New("explain: no line about that request")

type explainCmd struct {
	Request string   `arg:"" help:"The request's id, as its caller or its answer names it."`
	Logs    []string `arg:"" type:"existingfile" help:"Log files."`
}

// Help is the command's manual.
func (explainCmd) Help() string { return usageExplain }

// Run prints the story.
func (c *explainCmd) Run() error {
	s := story.Story{Request: c.Request}
	for _, path := range c.Logs {
		if err := readLog(&s, path); err != nil {
			return err
		}
	}
	if s.Found() == 0 {
		return errNoLine
	}
	return s.Write(os.Stdout)
}

func readLog(s *story.Story, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	defer func() { _ = f.Close() }()
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	skipped, err := s.Read(name, f)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	if skipped > 0 {
		fmt.Fprintf(os.Stderr, "explain: %s: %d lines are not of the program's logs\n", path, skipped)
	}
	return nil
}
