package main

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"azurelane/io/mint"
)

const usageCerts = `Issue a certificate for a process or an operator, for deployments without an
authority of their own. The folder keeps the authority (ca.pem, ca-key.pem),
which is made at the first call, and takes NAME.pem and NAME-key.pem. Keep the
folder off the VMs: they need only their own two files and ca.pem.`

type certsCmd struct {
	Name    string        `arg:"" help:"Name of the process or operator."`
	Folder  string        `default:"certs" help:"Folder of the authority."`
	Address []netip.Addr  `help:"IP addresses that others dial the process by; none for an operator."`
	Valid   time.Duration `default:"8760h" help:"How long the certificate is good."`
}

// Help is the command's manual.
func (certsCmd) Help() string { return usageCerts }

// Run issues the certificate and prints its file.
func (c *certsCmd) Run() error {
	if err := os.MkdirAll(c.Folder, 0o700); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := (mint.Mint{Folder: c.Folder}).Issue(c.Name, c.Address, c.Valid); err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	fmt.Println(filepath.Join(c.Folder, c.Name+".pem"))
	return nil
}
