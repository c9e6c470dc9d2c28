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

// Identity is this side's certificate, and the authority that it trusts. Certificate, key and revocation list are read again when their
// files change, so that a renewal needs no restart and a revoked certificate is refused with the next connection or call. It is safe for
// concurrent use.
type Identity struct {
	caDir, certPath, keyPath string
	ca                       *x509.Certificate
	pool                     *x509.CertPool // the ca alone

	mu             sync.Mutex // guards what follows
	current        *tls.Certificate
	currentModTime keyPairModTime  // of the files that current was read from
	revoked        map[string]bool // decimal serial numbers
	revokedModTime time.Time       // of the file that revoked was read from
}

// keyPairModTime is when the files of a certificate and of its key were last modified.
type keyPairModTime struct{ cert, key time.Time }

// Open reads an identity from the files of its certificate and key. The authority's folder must have its certificate and revocation
// list; its key is not needed.
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

// Name returns the common name of the own certificate.
func (i *Identity) Name() string {
	current, err := i.currentCertificate()
	if err != nil {
		return ""
	}
	return current.Leaf.Subject.CommonName
}

// currentCertificate returns the own certificate, which it reads where a file has changed. While the files can't be read, or do not
// belong together since one of them is being replaced, the certificate before stays.
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

// loadKeyPair reads the own certificate and its key.
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
		return nil, fmt.Errorf("%s: it is not the key of %s", i.keyPath, i.certPath)
	}
	return &tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key, Leaf: cert}, nil
}

// refreshRevoked reads the revocation list where its file has changed. While it can't be read, the list before stays.
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
		return fmt.Errorf("the list of revoked certificates: %w", err)
	}
	i.revoked, i.revokedModTime = map[string]bool{}, modified
	for _, entry := range list.RevokedCertificateEntries {
		i.revoked[entry.SerialNumber.String()] = true
	}
	return nil
}

// Verify checks that a certificate is the authority's, valid at a time and not revoked, and returns its common name and its roles.
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

// ServerTLS returns the configuration of a listener whose clients must have a certificate that Verify accepts.
func (i *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.pool,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.currentCertificate() },
		VerifyConnection: i.verifyConnection,
	}
}

// ClientTLS returns the configuration of a connection to the server of the given name, which its certificate must have.
func (i *Identity) ClientTLS(serverName string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: i.pool, ServerName: serverName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.currentCertificate() },
		VerifyConnection:     i.verifyConnection,
	}
}

// verifyConnection checks the other side's certificate, also that of a resumed session.
func (i *Identity) verifyConnection(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	_, _, err := i.Verify(state.PeerCertificates[0], time.Now())
	return err
}
