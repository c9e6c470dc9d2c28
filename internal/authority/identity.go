package authority

import (
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"
)

// Identity is the certificate of this side and the authority that it trusts. The certificate, its
// key and the revocation list are read again when their files change, so that a renewal needs no
// restart and a revoked certificate is refused at the next connection or call. Identity is safe for
// concurrent use.
type Identity struct {
	caDir, certPath, keyPath string
	ca                       *x509.Certificate
	pool                     *x509.CertPool // contains only ca

	mu             sync.Mutex // guards the fields below
	current        *tls.Certificate
	currentModTime keyPairModTime  // of the files that current was read from
	revoked        map[string]bool // decimal serial numbers
	revokedModTime time.Time       // of the file that revoked was read from
}

// keyPairModTime has the modification times of a certificate file and of its key file.
type keyPairModTime struct{ cert, key time.Time }

// Open reads an identity from the files of its certificate and key. The authority's directory must
// contain its certificate and revocation list; its key is not needed.
func Open(caDir, certPath, keyPath string) (*Identity, error) {
	ca, err := LoadCACertificate(caDir)
	if err != nil {
		return nil, err
	}
	i := &Identity{caDir: caDir, certPath: certPath, keyPath: keyPath, ca: ca, pool: x509.NewCertPool()}
	i.pool.AddCert(ca)
	if _, err := i.currentCertificate(); err != nil {
		return nil, err
	}
	return i, i.refreshRevoked()
}

// Name returns the common name of this side's certificate.
func (i *Identity) Name() string {
	current, err := i.currentCertificate()
	if err != nil {
		return ""
	}
	return current.Leaf.Subject.CommonName
}

// currentCertificate returns this side's certificate, and reads it again if a file has changed. If
// the files cannot be read, or do not match because one of them is being replaced, the previous
// certificate stays in use.
func (i *Identity) currentCertificate() (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	modified := keyPairModTime{modTime(i.certPath), modTime(i.keyPath)}
	if i.current != nil && modified == i.currentModTime {
		return i.current, nil
	}
	cert, err := i.loadKeyPair()
	if err != nil {
		if i.current != nil {
			return i.current, nil
		}
		return nil, err
	}
	i.current, i.currentModTime = cert, modified
	return cert, nil
}

// loadKeyPair reads this side's certificate and its key.
func (i *Identity) loadKeyPair() (*tls.Certificate, error) {
	key, err := readPrivateKey(i.keyPath)
	if err != nil {
		return nil, err
	}
	cert, err := LoadCertificate(i.certPath)
	if err != nil {
		return nil, err
	}
	if public, ok := cert.PublicKey.(*ecdsa.PublicKey); !ok || !public.Equal(key.Public()) {
		return nil, fmt.Errorf("%s: the private key does not match certificate %s", i.keyPath, i.certPath)
	}
	return &tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key, Leaf: cert}, nil
}

// refreshRevoked reads the revocation list if its file has changed. If the file cannot be read, the
// previous list stays in use.
func (i *Identity) refreshRevoked() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	modified := modTime(filepath.Join(i.caDir, revokedFile))
	if i.revoked != nil && modified.Equal(i.revokedModTime) {
		return nil
	}
	list, err := readRevocationList(i.caDir, i.ca)
	if err != nil {
		if i.revoked != nil {
			return nil
		}
		return fmt.Errorf("revocation list: %w", err)
	}
	i.revoked, i.revokedModTime = map[string]bool{}, modified
	for _, entry := range list.RevokedCertificateEntries {
		i.revoked[entry.SerialNumber.String()] = true
	}
	return nil
}

// Verify checks that a certificate was issued by the authority, is valid at the given time and has
// not been revoked. It returns the common name and the roles in the certificate.
func (i *Identity) Verify(cert *x509.Certificate, now time.Time) (name string, roles []Role, err error) {
	if _, err := cert.Verify(x509.VerifyOptions{
		Roots: i.pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}); err != nil {
		return "", nil, err
	}
	if err := i.refreshRevoked(); err != nil {
		return "", nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.revoked[cert.SerialNumber.String()] {
		return "", nil, fmt.Errorf("the certificate of %s was revoked", cert.Subject.CommonName)
	}
	for _, unit := range cert.Subject.OrganizationalUnit {
		roles = append(roles, Role(unit))
	}
	return cert.Subject.CommonName, roles, nil
}

// ServerTLS returns the configuration of a listener whose clients must have a certificate that
// Verify accepts.
func (i *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.pool,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.currentCertificate() },
		VerifyConnection: i.verifyConnection,
	}
}

// ClientTLS returns the configuration of a connection to the named server, whose certificate must
// contain that name.
func (i *Identity) ClientTLS(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: i.pool, ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.currentCertificate() },
		VerifyConnection:     i.verifyConnection,
	}
}

// verifyConnection verifies the certificate of the other side, also in a resumed session.
func (i *Identity) verifyConnection(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	_, _, err := i.Verify(state.PeerCertificates[0], time.Now())
	return err
}
