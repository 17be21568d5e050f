package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/netip"

	"azurelane/io/certs"
)

const usageDrain = `Take an entry out of service: it takes no new work, hands its pools to the
others, lets requests in flight finish, and ends.

An entry lets in operators who show a certificate of the deployment or the
operators' token. One that has neither set up lets in commands on its own VM.`

type drainCmd struct {
	Operator netip.AddrPort `arg:"" help:"Operators' address of the entry."`
	Token    string         `env:"AZURELANE_TOKEN" help:"Operators' token; better given in the environment, where other users can't see it."`
	tlsFlags `embed:""`
}

// Help is the command's manual.
func (drainCmd) Help() string { return usageDrain }

// Run asks the entry to drain.
func (c *drainCmd) Run(ctx context.Context) error {
	cfg, err := c.trust()
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	scheme := "http"
	if cfg != nil {
		scheme = "https"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+c.Operator.String()+"/v1/drain", http.NoBody)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}
	resp, err := client.Do(r)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("drain: the entry answered %s", resp.Status)
	}
	fmt.Println("draining")
	return nil
}

// trust needs no certificate of the operator's where a token is shown.
func (c *drainCmd) trust() (*tls.Config, error) {
	if c.Token != "" && c.Cert == "" && c.CA != "" {
		return certs.Trust(c.CA)
	}
	return c.tls()
}
