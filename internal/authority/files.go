package authority

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"time"
)

// Files in an authority's directory.
const (
	caCertFile  = "ca.pem"
	caKeyFile   = "ca-key.pem"
	revokedFile = "revoked.pem"
)

// Types of PEM blocks.
const (
	pemCertificate    = "CERTIFICATE"
	pemPrivateKey     = "EC PRIVATE KEY"
	pemRevocationList = "X509 CRL"
)

// File modes. A private key has privateMode, and must not have any permission outside ownerMask.
const (
	publicMode  os.FileMode = 0o644
	privateMode os.FileMode = 0o600
	ownerMask   os.FileMode = 0o700
)

// writePEM replaces a file by one PEM block atomically: a reader sees either the old file or the
// complete new one.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	err = pem.Encode(file, &pem.Block{Type: blockType, Bytes: der})
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = os.Remove(temporary) // the next write truncates a file that remains
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	return os.Rename(temporary, path)
}

// writeKeyPair writes a key and its certificate, the key first. For a moment, a reader may see the
// new key with the old certificate.
func writeKeyPair(certPath, keyPath string, certDER []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("%s: %w", keyPath, err)
	}
	if err := writePEM(keyPath, pemPrivateKey, keyDER, privateMode); err != nil {
		return err
	}
	return writePEM(certPath, pemCertificate, certDER, publicMode)
}

// readPEM returns the content of the first PEM block of a file. The block must have the given type.
func readPEM(path, blockType string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != blockType {
		return nil, fmt.Errorf("%s: expected a PEM block of type %s", path, blockType)
	}
	return block.Bytes, nil
}

// readPrivateKey reads a private key. It refuses a file that users other than its owner may access.
func readPrivateKey(path string) (*ecdsa.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&^ownerMask != 0 {
		return nil, fmt.Errorf("%s: users other than its owner may read it (%v)", path, info.Mode().Perm())
	}
	der, err := readPEM(path, pemPrivateKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(der)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return key, nil
}

// LoadCertificate reads a certificate from a PEM file.
func LoadCertificate(path string) (*x509.Certificate, error) {
	der, err := readPEM(path, pemCertificate)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cert, nil
}

// modTime returns when a file was last modified, or the zero time if its status cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
