// Package mint issues the certificates of a deployment that has no authority
// of its own to issue them.
package mint

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

const (
	caName     = "ca"
	caValid    = 10 * 365 * 24 * time.Hour
	serialBits = 128
	backdate   = time.Hour // Clocks of VMs differ.
)

// Mint keeps one authority in a folder. Its fields are set before use.
type Mint struct {
	Folder string // Takes ca.pem, ca-key.pem, and NAME.pem, NAME-key.pem for each certificate.
}

// Issue signs a certificate for a process or an operator. A process needs the
// IP addresses that others dial it by. The authority is made when the folder
// has none.
func (m Mint) Issue(name string, addrs []netip.Addr, valid time.Duration) error {
	ca, caKey, err := m.authority()
	if err != nil {
		return err
	}
	c, err := template(name, valid)
	if err != nil {
		return err
	}
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, a := range addrs {
		c.IPAddresses = append(c.IPAddresses, net.IP(a.AsSlice()))
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("mint: key: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, c, ca, key.Public(), caKey)
	if err != nil {
		return fmt.Errorf("mint: sign: %w", err)
	}
	return m.write(name, der, key)
}

// authority reads the folder's authority, or makes it.
func (m Mint) authority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := m.read(caName + ".pem")
	if errors.Is(err, os.ErrNotExist) {
		return m.newAuthority()
	}
	if err != nil {
		return nil, nil, err
	}
	raw, err := m.read(caName + "-key.pem")
	if err != nil {
		return nil, nil, err
	}
	ca, err := x509.ParseCertificate(cert)
	if err != nil {
		return nil, nil, fmt.Errorf("mint: authority: %w", err)
	}
	key, err := x509.ParseECPrivateKey(raw)
	if err != nil {
		return nil, nil, fmt.Errorf("mint: authority's key: %w", err)
	}
	return ca, key, nil
}

func (m Mint) newAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	c, err := template("azurelane authority", caValid)
	if err != nil {
		return nil, nil, err
	}
	c.IsCA, c.BasicConstraintsValid, c.KeyUsage = true, true, x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("mint: key: %w", err)
	}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		return nil, nil, fmt.Errorf("mint: sign: %w", err)
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("mint: authority: %w", err)
	}
	return ca, key, m.write(caName, der, key)
}

func template(name string, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("mint: serial: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(valid),
	}, nil
}

func (m Mint) read(file string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(m.Folder, file))
	if err != nil {
		return nil, fmt.Errorf("mint: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("mint: %s: expected PEM", file)
	}
	return block.Bytes, nil
}

// write replaces the key and then the certificate, each by a rename, so that
// a process never reads half a file.
func (m Mint) write(name string, cert []byte, key *ecdsa.PrivateKey) error {
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("mint: key: %w", err)
	}
	for _, f := range []struct {
		file  string
		block pem.Block
	}{
		{name + "-key.pem", pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}},
		{name + ".pem", pem.Block{Type: "CERTIFICATE", Bytes: cert}},
	} {
		path := filepath.Join(m.Folder, f.file)
		if err := os.WriteFile(path+".new", pem.EncodeToMemory(&f.block), 0o600); err != nil {
			return fmt.Errorf("mint: %w", err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			return fmt.Errorf("mint: %w", err)
		}
	}
	return nil
}
