package authority

import (
	"crypto/rand"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// Revoke adds certificates to the authority's revocation list, and creates the list if there is
// none. Identities apply the new list to their next connection once their directories contain the
// new file.
func Revoke(dir string, certs []*x509.Certificate, now time.Time) error {
	ca, key, err := loadCA(dir)
	if err != nil {
		return err
	}
	list := &x509.RevocationList{
		Number: big.NewInt(now.UnixNano()), ThisUpdate: now.Add(-clockSkew), NextUpdate: now.Add(caLifetime),
	}
	previous, err := readRevocationList(dir, ca)
	switch {
	case err == nil:
		list.RevokedCertificateEntries = previous.RevokedCertificateEntries
	case !errors.Is(err, os.ErrNotExist):
		return err
	}
	for _, cert := range certs {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, x509.RevocationListEntry{
			SerialNumber: cert.SerialNumber, RevocationTime: now,
		})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, ca, key)
	if err != nil {
		return fmt.Errorf("revocation list: %w", err)
	}
	return writePEM(filepath.Join(dir, revokedFile), pemRevocationList, der, publicMode)
}

// readRevocationList reads the revocation list of the authority in a directory and verifies its
// signature. The error wraps os.ErrNotExist if there is no list.
func readRevocationList(dir string, ca *x509.Certificate) (*x509.RevocationList, error) {
	path := filepath.Join(dir, revokedFile)
	der, err := readPEM(path, pemRevocationList)
	if err != nil {
		return nil, err
	}
	list, err := x509.ParseRevocationList(der)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := list.CheckSignatureFrom(ca); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}
