package main

import (
	"crypto/x509"
	"fmt"
	"time"

	"tallyproxy/internal/authority"
)

type keysCommand struct {
	Dir    string            `default:"keys" help:"The authority's folder. Only its key must be kept from others."`
	Init   keysInitCommand   `cmd:"" help:"Make an authority."`
	Issue  keysIssueCommand  `cmd:"" help:"Make a certificate, or renew one: the same name again."`
	Revoke keysRevokeCommand `cmd:"" help:"Have a certificate hold no more."`
}

type keysInitCommand struct {
	Name string `default:"tallyproxy fleet" help:"The authority's name."`
}

// Run makes an authority.
func (k *keysInitCommand) Run(c *command) error {
	return authority.Init(c.Keys.Dir, k.Name, time.Now())
}

type keysIssueCommand struct {
	Name string        `arg:"" help:"Of an agent, as in the inventory, or of an operator."`
	Role []string      `required:"" enum:"agent,see,change,keys" help:"What it may: agent; see, change or keys for operators."`
	Life time.Duration `default:"720h" help:"How long it holds."`
	Into string        `default:"." help:"The folder for NAME.pem and NAME-key.pem."`
}

// Run makes a certificate.
func (k *keysIssueCommand) Run(c *command) error {
	var roles []authority.Role
	for _, r := range k.Role {
		roles = append(roles, authority.Role(r))
	}
	if err := authority.Issue(c.Keys.Dir, k.Into, k.Name, roles, k.Life, time.Now()); err != nil {
		return err
	}
	fmt.Printf("%s: holds until %s\n", k.Name, time.Now().Add(k.Life).Format(time.DateTime))
	return nil
}

type keysRevokeCommand struct {
	Certs []string `arg:"" help:"Files of certificates."`
}

// Run revokes certificates. Agents read the list of their own folder: it is to be copied there.
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
