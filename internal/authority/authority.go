// Package authority is a small certificate authority for a fleet: one certificate for each agent and each operator, with roles and a
// limited lifetime, and a list of revoked certificates. Connections are mutual TLS 1.3. An authority is a folder of PEM files; private
// keys are readable by their owner alone.
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

// Role is what a certificate allows its owner to do. Certificates hold it as an organizational unit.
type Role string

// The roles, by the words that certificates hold.
const (
	RoleAgent    Role = "agent"  // an agent: may ask and probe others
	RoleViewer   Role = "see"    // an operator who may read the state of the fleet
	RoleEditor   Role = "change" // an operator who may change it
	RoleKeyAdmin Role = "keys"   // an operator who may revoke certificates
)

var allRoles = []Role{RoleAgent, RoleViewer, RoleEditor, RoleKeyAdmin}

const (
	caLifetime = 10 * 365 * 24 * time.Hour // of the authority's own certificate, and the most of any other
	clockSkew  = time.Hour                 // by which the clocks of two hosts may differ: certificates hold from so long ago
	serialBits = 120                       // of a random serial number
)

// Init makes a new authority under a common name: its key, its certificate and an empty revocation list. It is an error if the folder
// has one already.
func Init(dir, name string, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, caKeyFile)); err == nil {
		return fmt.Errorf("%s: there is an authority", dir)
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

// Issue makes a key and a certificate with the roles for a name, signed by the authority in dir, as NAME.pem and NAME-key.pem of the folder
// into. Issuing for the same name again renews: the certificate before stays valid until it expires or is revoked.
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

// checkIssue checks what a certificate is asked for. A name becomes a file's and must not be one of the authority's own.
func checkIssue(name string, roles []Role, lifetime time.Duration) error {
	if name == "" || strings.ContainsAny(name, "/\\ \n") || name == "ca" || name == "revoked" {
		return fmt.Errorf("name: %q can't be used", name)
	}
	if len(roles) == 0 || slices.ContainsFunc(roles, func(r Role) bool { return !slices.Contains(allRoles, r) }) {
		return fmt.Errorf("roles: %v is not of %v", roles, allRoles)
	}
	if lifetime <= 0 || lifetime > caLifetime {
		return fmt.Errorf("life: %v is not above 0 and within the authority's", lifetime)
	}
	return nil
}

// LoadCACertificate reads the own certificate of the authority in a folder.
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
