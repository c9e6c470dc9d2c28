// Package authority is a small certificate authority for a fleet: one certificate for each agent and each operator, with roles
// and short lives, and a list of those revoked. TLS 1.3, both sides show who they are; private keys are files that only their
// owner may read.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Role is what a certificate lets its owner do.
type Role string

const (
	RoleAgent    Role = "agent"  // an agent itself: may ask and probe others
	RoleViewer   Role = "see"    // an operator who may look,
	RoleEditor   Role = "change" // change,
	RoleKeyAdmin Role = "keys"   // and revoke
)

var roles = []Role{RoleAgent, RoleViewer, RoleEditor, RoleKeyAdmin}

const (
	caYears = 10 * 365 * 24 * time.Hour
	skew    = time.Hour // clocks may differ by so much
)

// Files of a folder.
const (
	caCert  = "ca.pem"
	caKey   = "ca-key.pem"
	revoked = "revoked.pem"
)

func newKey() (*ecdsa.PrivateKey, error) { return ecdsa.GenerateKey(elliptic.P256(), rand.Reader) }

func serial() (*big.Int, error) { return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)) }

// put writes a PEM file whole; private ones are readable by their owner alone.
func put(path, kind string, der []byte, private bool) error {
	mode := os.FileMode(0o644)
	if private {
		mode = 0o600
	}
	tmp := path + ".new"
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, mode)
	if err != nil {
		return err
	}
	err = pem.Encode(f, &pem.Block{Type: kind, Bytes: der})
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, path)
}

// putPair writes a key and its certificate, the key first.
func putPair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	kder, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := put(keyPath, "EC PRIVATE KEY", kder, true); err != nil {
		return err
	}
	return put(certPath, "CERTIFICATE", der, false)
}

// get reads a PEM file of one kind.
func get(path, kind string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != kind {
		return nil, fmt.Errorf("%s: no %s is in it", path, kind)
	}
	return block.Bytes, nil
}

// private reads a key, and refuses one that others may read.
func private(path string) (*ecdsa.PrivateKey, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: others than its owner may read it (%v)", path, info.Mode().Perm())
	}
	der, err := get(path, "EC PRIVATE KEY")
	if err != nil {
		return nil, err
	}
	return x509.ParseECPrivateKey(der)
}

// Init makes a new authority in a folder, where there is none.
func Init(dir, name string, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, caKey)); err == nil {
		return fmt.Errorf("%s: there is an authority", dir)
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	n, err := serial()
	if err != nil {
		return err
	}
	cert := &x509.Certificate{
		SerialNumber: n, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-skew), NotAfter: now.Add(caYears), IsCA: true,
		BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		return err
	}
	if err := putPair(filepath.Join(dir, caCert), filepath.Join(dir, caKey), der, key); err != nil {
		return err
	}
	return Revoke(dir, nil, now)
}

func load(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	cert, err := LoadCACertificate(dir)
	if err != nil {
		return nil, nil, err
	}
	key, err := private(filepath.Join(dir, caKey))
	return cert, key, err
}

// LoadCACertificate is the authority's own certificate.
func LoadCACertificate(dir string) (*x509.Certificate, error) {
	der, err := get(filepath.Join(dir, caCert), "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// Issue makes a key and a certificate with roles for a name, into NAME.pem and NAME-key.pem of a folder. The same name again
// renews: the old one holds until its time is over or it is revoked.
func Issue(dir, into, name string, of []Role, life time.Duration, now time.Time) error {
	if name == "" || strings.ContainsAny(name, "/\\ \n") || name == "ca" || name == "revoked" {
		return fmt.Errorf("name: %q can't be used", name)
	}
	if len(of) == 0 || slices.ContainsFunc(of, func(r Role) bool { return !slices.Contains(roles, r) }) {
		return fmt.Errorf("roles: %v is not of %v", of, roles)
	}
	if life <= 0 || life > caYears {
		return fmt.Errorf("life: %v is not above 0 and within the authority's", life)
	}
	ca, caKey, err := load(dir)
	if err != nil {
		return err
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	n, err := serial()
	if err != nil {
		return err
	}
	var units []string
	for _, r := range of {
		units = append(units, string(r))
	}
	cert := &x509.Certificate{
		SerialNumber: n, Subject: pkix.Name{CommonName: name, OrganizationalUnit: units}, DNSNames: []string{name},
		NotBefore: now.Add(-skew), NotAfter: now.Add(life), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, ca, key.Public(), caKey)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(into, 0o700); err != nil {
		return err
	}
	return putPair(filepath.Join(into, name+".pem"), filepath.Join(into, name+"-key.pem"), der, key)
}

// Revoke adds certificates to the list of those that hold no more.
func Revoke(dir string, certs []*x509.Certificate, now time.Time) error {
	ca, key, err := load(dir)
	if err != nil {
		return err
	}
	list := &x509.RevocationList{Number: big.NewInt(now.UnixNano()), ThisUpdate: now.Add(-skew), NextUpdate: now.Add(caYears)}
	if old, err := readList(dir, ca); err == nil {
		list.RevokedCertificateEntries = old.RevokedCertificateEntries
	} else if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	for _, c := range certs {
		list.RevokedCertificateEntries = append(list.RevokedCertificateEntries, x509.RevocationListEntry{
			SerialNumber: c.SerialNumber, RevocationTime: now,
		})
	}
	der, err := x509.CreateRevocationList(rand.Reader, list, ca, key)
	if err != nil {
		return err
	}
	return put(filepath.Join(dir, revoked), "X509 CRL", der, false)
}

func readList(dir string, ca *x509.Certificate) (*x509.RevocationList, error) {
	der, err := get(filepath.Join(dir, revoked), "X509 CRL")
	if err != nil {
		return nil, err
	}
	list, err := x509.ParseRevocationList(der)
	if err != nil {
		return nil, err
	}
	return list, list.CheckSignatureFrom(ca)
}

// LoadCertificate reads one from a file.
func LoadCertificate(path string) (*x509.Certificate, error) {
	der, err := get(path, "CERTIFICATE")
	if err != nil {
		return nil, err
	}
	return x509.ParseCertificate(der)
}

// Identity is who this side is, and whom it trusts. Certificate, key and the list of revoked ones are read again when
// their files change, so that renewing needs no stop and a revoked certificate is refused with the next call.
type Identity struct {
	dir, cert, key string
	ca             *x509.Certificate
	pool           *x509.CertPool

	mu    sync.Mutex
	own   *tls.Certificate
	stamp [2]time.Time
	list  map[string]bool
	read  time.Time // the list's file
}

// Open reads an identity: the authority's folder needs its certificate and list, not its key.
func Open(dir, cert, key string) (*Identity, error) {
	ca, err := LoadCACertificate(dir)
	if err != nil {
		return nil, err
	}
	i := &Identity{dir: dir, cert: cert, key: key, ca: ca, pool: x509.NewCertPool()}
	i.pool.AddCert(ca)
	if _, err := i.certificate(); err != nil {
		return nil, err
	}
	return i, i.refresh()
}

func stampOf(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// certificate is the newest that can be read; a file that is half changed leaves the one before.
func (i *Identity) certificate() (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	stamp := [2]time.Time{stampOf(i.cert), stampOf(i.key)}
	if i.own != nil && stamp == i.stamp {
		return i.own, nil
	}
	own, err := i.readOwn()
	if err != nil {
		if i.own != nil {
			return i.own, nil
		}
		return nil, err
	}
	i.own, i.stamp = own, stamp
	return own, nil
}

func (i *Identity) readOwn() (*tls.Certificate, error) {
	key, err := private(i.key)
	if err != nil {
		return nil, err
	}
	cert, err := LoadCertificate(i.cert)
	if err != nil {
		return nil, err
	}
	if pub, ok := cert.PublicKey.(*ecdsa.PublicKey); !ok || !pub.Equal(key.Public()) {
		return nil, fmt.Errorf("%s: it is not the key of %s", i.key, i.cert)
	}
	return &tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key, Leaf: cert}, nil
}

// refresh reads the list of revoked certificates where its file has changed. One that can't be read leaves the one before.
func (i *Identity) refresh() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	stamp := stampOf(filepath.Join(i.dir, revoked))
	if i.list != nil && stamp.Equal(i.read) {
		return nil
	}
	list, err := readList(i.dir, i.ca)
	if err != nil {
		if i.list != nil {
			return nil
		}
		return fmt.Errorf("the list of revoked certificates: %w", err)
	}
	i.list, i.read = map[string]bool{}, stamp
	for _, e := range list.RevokedCertificateEntries {
		i.list[e.SerialNumber.String()] = true
	}
	return nil
}

// Verify says whether a certificate holds at a time: the authority's, in its time and not revoked. It gives name and roles.
func (i *Identity) Verify(cert *x509.Certificate, now time.Time) (name string, of []Role, err error) {
	if _, err := cert.Verify(x509.VerifyOptions{
		Roots: i.pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}); err != nil {
		return "", nil, err
	}
	if err := i.refresh(); err != nil {
		return "", nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.list[cert.SerialNumber.String()] {
		return "", nil, fmt.Errorf("the certificate of %s was revoked", cert.Subject.CommonName)
	}
	for _, unit := range cert.Subject.OrganizationalUnit {
		of = append(of, Role(unit))
	}
	return cert.Subject.CommonName, of, nil
}

// ServerTLS is the TLS of one who listens.
func (i *Identity) ServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: i.pool,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.certificate() },
		VerifyConnection: i.verify,
	}
}

// ClientTLS is the TLS of one who calls another by its name.
func (i *Identity) ClientTLS(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: i.pool, ServerName: name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.certificate() },
		VerifyConnection:     i.verify,
	}
}

func (i *Identity) verify(c tls.ConnectionState) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("no certificate")
	}
	_, _, err := i.Verify(c.PeerCertificates[0], time.Now())
	return err
}

// Name is the own certificate's.
func (i *Identity) Name() string {
	own, err := i.certificate()
	if err != nil {
		return ""
	}
	return own.Leaf.Subject.CommonName
}
