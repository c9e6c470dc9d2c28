// Package authority is a small certificate authority for a fleet. It issues one certificate for
// each agent and each operator, with roles and a limited lifetime, and keeps a list of revoked
// certificates. Connections use mutual TLS 1.3. An authority is a directory of PEM files; only
// their owner can read the private keys.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Role is what a certificate allows its owner to do. Certificates contain roles as organizational
// units.
type Role string

// The roles. Certificates contain these values.
const (
	RoleAgent    Role = "agent"  // an agent, which may query others and complete changes
	RoleViewer   Role = "see"    // an operator who may read the state of the fleet
	RoleEditor   Role = "change" // an operator who may change the fleet
	RoleKeyAdmin Role = "keys"   // an operator who revokes certificates; may read the state
)

var allRoles = []Role{RoleAgent, RoleViewer, RoleEditor, RoleKeyAdmin}

const (
	caLifetime = 10 * 365 * 24 * time.Hour // of the CA certificate, and maximum of all others
	clockSkew  = time.Hour                 // between hosts; NotBefore is this far in the past
	serialBits = 120                       // size of a random serial number in bits
)

// Init creates a new authority with a common name: its key, its certificate and an empty revocation
// list. It returns an error if the directory already has an authority.
func Init(dir, name string, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return fmt.Errorf("%s: an authority already exists", dir)
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(caLifetime),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return fmt.Errorf("certificate of the authority: %w", err)
	}
	if err := writeKeyPair(filepath.Join(dir, caCertFile), filepath.Join(dir, caKeyFile), der, key); err != nil {
		return err
	}
	return Revoke(dir, nil, now)
}

// Issue creates a key and a certificate with the roles for a name, signed by the authority in dir,
// and writes them as NAME.pem and NAME-key.pem to the directory into. Issuing a certificate for the
// same name again renews it: the previous certificate stays valid until it expires or is revoked.
func Issue(dir, into, name string, roles []Role, lifetime time.Duration, now time.Time) error {
	if err := checkIssue(name, roles, lifetime); err != nil {
		return err
	}
	ca, caKey, err := loadCA(dir)
	if err != nil {
		return err
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	serial, err := newSerial()
	if err != nil {
		return err
	}
	var units []string
	for _, role := range roles {
		units = append(units, string(role))
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name, OrganizationalUnit: units}, DNSNames: []string{name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(lifetime), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, key.Public(), caKey)
	if err != nil {
		return fmt.Errorf("certificate of %s: %w", name, err)
	}
	if err := os.MkdirAll(into, 0o700); err != nil {
		return err
	}
	return writeKeyPair(filepath.Join(into, name+".pem"), filepath.Join(into, name+"-key.pem"), der, key)
}

// checkIssue checks the parameters of a certificate. The name becomes a file name and must not be
// one of the authority's own.
func checkIssue(name string, roles []Role, lifetime time.Duration) error {
	if name == "" || strings.ContainsAny(name, "/\\ \n") || name == "ca" || name == "revoked" {
		return fmt.Errorf("name: %q is not a valid certificate name", name)
	}
	if len(roles) == 0 || slices.ContainsFunc(roles, func(r Role) bool { return !slices.Contains(allRoles, r) }) {
		return fmt.Errorf("roles: %v must be one or more of %v", roles, allRoles)
	}
	if lifetime <= 0 || lifetime > caLifetime {
		return fmt.Errorf("life: %v must be above 0 and at most the authority's lifetime", lifetime)
	}
	return nil
}

// LoadCACertificate reads the certificate of the authority in a directory.
func LoadCACertificate(dir string) (*x509.Certificate, error) {
	return LoadCertificate(filepath.Join(dir, caCertFile))
}

// loadCA reads the authority's certificate and key.
func loadCA(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := LoadCACertificate(dir)
	if err != nil {
		return nil, nil, err
	}
	key, err := readPrivateKey(filepath.Join(dir, caKeyFile))
	return cert, key, err
}

func newKey() (*ecdsa.PrivateKey, error) { return ecdsa.GenerateKey(elliptic.P256(), rand.Reader) }

func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}
