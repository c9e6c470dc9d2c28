package main

import (
	"crypto/x509"
	"fmt"
	"time"

	"tallyproxy/internal/authority"
)

type keysCommand struct {
	Dir    string            `default:"keys" help:"The folder of the certificate authority. Only its private key is secret."`
	Init   keysInitCommand   `cmd:"" help:"Create a certificate authority."`
	Issue  keysIssueCommand  `cmd:"" help:"Issue a certificate. Issuing one for an existing name renews it."`
	Revoke keysRevokeCommand `cmd:"" help:"Revoke certificates."`
}

type keysInitCommand struct {
	Name string `default:"tallyproxy fleet" help:"The authority's name."`
}

// Run creates a certificate authority.
func (k *keysInitCommand) Run(c *command) error {
	return authority.Init(c.Keys.Dir, k.Name, time.Now())
}

type keysIssueCommand struct {
	Name string        `arg:"" help:"Name of an agent in the inventory, or of an operator."`
	Role []string      `required:"" enum:"agent,see,change,keys" help:"Permissions: agent for an agent; see, change or keys for an operator."`
	Life time.Duration `default:"720h" help:"How long the certificate is valid."`
	Into string        `default:"." help:"The folder for NAME.pem and NAME-key.pem."`
}

// Run issues a certificate.
func (k *keysIssueCommand) Run(c *command) error {
	var roles []authority.Role
	for _, r := range k.Role {
		roles = append(roles, authority.Role(r))
	}
	if err := authority.Issue(c.Keys.Dir, k.Into, k.Name, roles, k.Life, time.Now()); err != nil {
		return err
	}
	fmt.Printf("%s: valid until %s\n", k.Name, time.Now().Add(k.Life).Format(time.DateTime))
	return nil
}

type keysRevokeCommand struct {
	Certs []string `arg:"" help:"Certificate files to revoke."`
}

// Run revokes certificates. Each agent reads the revocation list from its own authority folder, so
// the updated list has to be copied there.
func (k *keysRevokeCommand) Run(c *command) error {
	var certs []*x509.Certificate
	for _, path := range k.Certs {
		cert, err := authority.LoadCertificate(path)
		if err != nil {
			return err
		}
		certs = append(certs, cert)
	}
	return authority.Revoke(c.Keys.Dir, certs, time.Now())
}
