package main

import (
	"crypto/tls"
	"fmt"

	"azurelane/io/certs"
)

// tlsFlags names the files that an operator's command shows itself by.
type tlsFlags struct {
	Cert string `type:"existingfile" help:"Operator's certificate, where the deployment uses TLS."`
	Key  string `type:"existingfile" help:"Its private key."`
	CA   string `name:"ca" type:"existingfile" help:"Authority of the deployment."`
}

// tls returns nil where no file is named.
func (f tlsFlags) tls() (*tls.Config, error) {
	c := certs.Certs(f)
	if !c.Whole() {
		return nil, fmt.Errorf("tls: expected --cert, --key and --ca together")
	}
	return c.Config()
}
