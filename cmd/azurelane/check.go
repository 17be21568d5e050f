package main

import (
	"fmt"
	"os"

	"azurelane/core/codec"
	"azurelane/core/sites"
	"azurelane/io/setup"
)

const usageCheck = `Check files offline: a configuration with --config, for every site, and the
settings of processes. Errors name the file, the key and what was expected.`

type checkCmd struct {
	Config   string   `type:"existingfile" help:"A configuration: base and overlays."`
	Settings []string `arg:"" optional:"" type:"existingfile" help:"Settings of processes."`
	Print    bool     `help:"Print the settings, and the configuration of each site, with all defaults."`
}

// Help is the command's manual.
func (checkCmd) Help() string { return usageCheck }

// Run reads every file and prints what it found.
func (c *checkCmd) Run() error {
	if c.Config != "" {
		_, set, err := readConfig(c.Config)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		fmt.Printf("%s: fit for %d sites\n", c.Config, len(set.Sites()))
		if c.Print {
			if err := printMerged(set); err != nil {
				return fmt.Errorf("check: %w", err)
			}
		}
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

// readConfig reads a configuration that is fit to be served at every site.
func readConfig(path string) ([]byte, *sites.Set, error) {
	doc, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	set, err := sites.Parse(doc)
	if err == nil {
		err = set.Served()
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return doc, set, nil
}

// printMerged writes what is in force at each site, with what it left out.
func printMerged(set *sites.Set) error {
	for _, site := range set.Sites() {
		cfg, err := set.For(site)
		if err != nil {
			return err
		}
		text, err := codec.Print(cfg.WithDefaults())
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", site, text)
	}
	return nil
}
