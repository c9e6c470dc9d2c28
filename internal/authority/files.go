package authority

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"time"
)

// Files of an authority's folder.
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

// Modes of files: a private key's is privateMode, and none beyond ownerMask may be set on it.
const (
	publicMode  os.FileMode = 0o644
	privateMode os.FileMode = 0o600
	ownerMask   os.FileMode = 0o700
)

// writePEM replaces a file by one PEM block. A reader sees the file before or the whole new one.
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
		_ = os.Remove(temporary) // the next write truncates what is left
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	return os.Rename(temporary, path)
}

// writeKeyPair writes a key and its certificate, the key first. A reader may see the new key with the old certificate for a moment.
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

// readPEM returns the bytes of the first PEM block of a file, which must have the type.
func readPEM(path, blockType string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != blockType {
		return nil, fmt.Errorf("%s: no %s is in it", path, blockType)
	}
	return block.Bytes, nil
}

// readPrivateKey reads a key. A file that others than its owner may read is refused.
func readPrivateKey(path string) (*ecdsa.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&^ownerMask != 0 {
		return nil, fmt.Errorf("%s: others than its owner may read it (%v)", path, info.Mode().Perm())
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

// modTime returns when a file was last modified; zero for one that can't be looked at.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
