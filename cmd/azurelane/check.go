package main

import (
	"fmt"
	"os"

	"azurelane/core/sites"
	"azurelane/io/setup"
)

const usageCheck = `Check files offline: a configuration with --config, for every site, and the
settings of processes. Errors name the file, the key and what was expected.`

type checkCmd struct {
	Config   string   `type:"existingfile" help:"A configuration: base and overlays."`
	Settings []string `arg:"" optional:"" type:"existingfile" help:"Settings of processes."`
	Print    bool     `help:"Print the settings in full."`
}

// Help is the command's manual.
func (checkCmd) Help() string { return usageCheck }

// Run reads every file and prints what it found.
func (c *checkCmd) Run() error {
	if c.Config != "" {
		doc, err := os.ReadFile(c.Config)
		if err != nil {
			return err
		}
		set, err := sites.Parse(doc)
		if err != nil {
			return fmt.Errorf("check: %s: %w", c.Config, err)
		}
		fmt.Printf("%s: fit for %d sites\n", c.Config, len(set.Sites()))
	}
	for _, path := range c.Settings {
		s, err := setup.Load(path)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		if !c.Print {
			fmt.Printf("%s: fit\n", path)
			continue
		}
		text, err := s.Print()
		if err != nil {
			return err
		}
		fmt.Println(text)
	}
	return nil
}
