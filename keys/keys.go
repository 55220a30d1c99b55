// Package keys generates and loads a site's TLS credentials: a certificate
// authority, and a certificate and key for each node. Nodes authenticate each
// other by mutual TLS and reject all other peers.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/walnutramp/walnutramp"
)

// File names in a key directory; a node's files are named after it.
const (
	authorityFile = "site.crt"
	certSuffix    = ".crt"
	keySuffix     = ".key"
)

// validity is the lifetime of certificates.
const validity = 2 * 365 * 24 * time.Hour

// MakeSite creates a certificate authority, and a certificate and key for each
// node, in dir. Certificates are valid for two years (validity). The authority's private
// key is discarded: adding nodes to a site requires a new set of keys. Existing files are
// overwritten; nodes with the old keys then can't connect to those with the new ones.
func MakeSite(dir, site string, nodes []walnutramp.NodeName) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	authority := certificateTemplate(site, site)
	authority.IsCA = true
	authority.BasicConstraintsValid = true
	authority.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, authority, authority, authorityKey.Public(), authorityKey)
	if err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, authorityFile), "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	for _, n := range nodes {
		if err := makeNodeKeys(dir, site, n, authority, authorityKey); err != nil {
			return err
		}
	}
	return nil
}

func certificateTemplate(site, name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name, Organization: []string{site}},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func makeNodeKeys(dir, site string, node walnutramp.NodeName, authority *x509.Certificate, authorityKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	der, err := x509.CreateCertificate(rand.Reader, certificateTemplate(site, string(node)), authority, key.Public(), authorityKey)
	if err != nil {
		return err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	base := filepath.Join(dir, string(node))
	if err := writePEM(base+certSuffix, "CERTIFICATE", der, 0o644); err != nil {
		return err
	}
	return writePEM(base+keySuffix, "EC PRIVATE KEY", keyDER, 0o600)
}

func writePEM(file, kind string, der []byte, mode os.FileMode) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), mode)
}

// Load returns a TLS configuration for both ends of a connection between nodes,
// with the node's credentials from dir. Both ends must present a certificate of
// the site's authority. The client must set ServerName to the peer's node name.
func Load(dir string, node walnutramp.NodeName) (*tls.Config, error) {
	base := filepath.Join(dir, string(node))
	cert, err := tls.LoadX509KeyPair(base+certSuffix, base+keySuffix)
	if err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(filepath.Join(dir, authorityFile))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Newf("%s contains no valid certificate", authorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
