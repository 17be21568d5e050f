package main

import (
	"fmt"
	"runtime/debug"
)

// version is the newest heading of CHANGELOG.md.
const version = "0.1.0"

const usageVersion = `Print the version and the revision it was built from.`

type versionCmd struct{}

// Help is the command's manual.
func (versionCmd) Help() string { return usageVersion }

// Run prints the version.
func (versionCmd) Run() error {
	rev := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				rev = s.Value
			}
		}
	}
	fmt.Printf("azurelane %s, revision %s\n", version, rev)
	return nil
}
