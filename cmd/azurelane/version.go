package main

import (
	"fmt"

	"azurelane/io/build"
)

// version is the newest heading of CHANGELOG.md.
const version = "0.1.0"

const usageVersion = `Print the version, the revision it was built from and the linker's build id,
which differs whenever the code does. Lines that say that a process serves name
revision and build id too.`

type versionCmd struct{}

// Help is the command's manual.
func (versionCmd) Help() string { return usageVersion }

// Run prints the version.
func (versionCmd) Run() error {
	b := build.Read()
	fmt.Printf("azurelane %s, revision %s, build %s\n", version, b.Revision, b.ID)
	return nil
}
