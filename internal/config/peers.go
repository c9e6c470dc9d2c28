package config

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"go.starlark.net/starlark"
)

// Peers configures gossip between directors.
type Peers struct {
	Listen    string   // IPv4 address and port, for TCP and UDP
	Advertise string   // address and port at which others reach Listen; empty if the same
	Seeds     []string // addresses and ports of directors to join at the start
	Fleet     string   // name of the fleet; directors of other fleets are ignored
	Delegates int      // directors per zone that poll the channel for the others; 0: no delegates
	KeyFile   string   // path of the file with the key that all directors share
	SharedKey []byte   // the key: 32 bytes, for AES-256
}

const (
	defaultDelegates = 3
	maxDelegates     = 100
	sharedKeyBytes   = 32
)

// settings returns the arguments of peers(...).
func (p *Peers) settings() []setting {
	return []setting{
		addressSetting("listen", &p.Listen),
		addressSetting("advertise", &p.Advertise),
		textSetting("fleet", &p.Fleet),
		integerSetting("followers", &p.Delegates, 0, maxDelegates),
		addressListSetting("seeds", &p.Seeds),
		{"key", func(value starlark.Value) (err error) {
			if err = textSetting("key", &p.KeyFile).set(value); err == nil {
				p.SharedKey, err = ReadKey(p.KeyFile)
			}
			return err
		}},
	}
}

// check returns an error for the first required setting that is missing.
func (p *Peers) check() error {
	switch {
	case p.Listen == "":
		return &KeyError{"peers.listen", ErrMissing}
	case p.KeyFile == "":
		return &KeyError{"peers.key", ErrMissing}
	}
	return nil
}

// ReadKey reads the key that the members of a gossip network share: a file of 64 hex digits. The
// error names the path.
func ReadKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) != sharedKeyBytes {
		return nil, fmt.Errorf("%s: not %d hex digits", path, 2*sharedKeyBytes)
	}
	return key, nil
}
