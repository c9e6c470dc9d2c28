// Package config reads and checks all configuration and supplies the defaults: the platform's JSON
// file (Config), the operator's Starlark script (Operator) and the inventory of a fleet, also a
// Starlark script (Inventory). A file with an error is rejected as a whole. The error names the
// invalid key and, in scripts, the line. The package keeps no state, so all functions may be called
// from any goroutine.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
)

// Config is the platform's configuration of one director.
type Config struct {
	// Name of the director; $NODE_NAME if the file has none.
	Name string `json:"name"`
	// Address and port for clients; $NODE_LISTEN if the file has none.
	Listen string `json:"listen"`
	// Seed of random choices, up to 16 hex digits; empty for 0.
	Seed string `json:"seed"`
	// Address and port of the command channel.
	Channel string `json:"channel"`
	// Channel commands known at the start, in the channel's format.
	Bootstrap json.RawMessage `json:"known"`
	// Resources of the machine that are granted to the director.
	Limits Limits `json:"limits"`
	// JSON text of Site.
	RawSettings json.RawMessage `json:"settings"`
	// RawSettings, parsed and checked.
	Site Site `json:"-"`
	// Digest of the file.
	Digest string `json:"-"`
}

// Digest returns the SHA-256 digest of a file's contents in hex digits.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Load reads and checks the file that the environment variable NODE_CONFIG names. Errors in the
// file's contents are of type KeyError or JSON syntax errors.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return Config{}, errors.New("NODE_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	c := Config{
		Digest: Digest(raw), Name: getenv("NODE_NAME"), Listen: getenv("NODE_LISTEN"),
		Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets},
	}
	return c, c.parse(raw)
}

// Reload returns the configuration that a director running on c uses after a reload has read next:
// next, but with the seed that c has. If next changes a setting that can't change while requests
// are open, Reload returns c and an error that wraps ErrNeedsRestart.
func (c Config) Reload(next Config) (Config, error) {
	next.Seed, next.Site.Seed = c.Seed, c.Site.Seed
	for _, setting := range []struct {
		key  string
		same bool
	}{
		{"name", next.Name == c.Name}, {"listen", next.Listen == c.Listen},
		{"settings", reflect.DeepEqual(next.Site, c.Site)},
	} {
		if !setting.same {
			return c, keyErrorf(setting.key, "a change %w", ErrNeedsRestart)
		}
	}
	return next, nil
}

// parse decodes a file's contents into c, which holds the defaults, and checks the result.
func (c *Config) parse(raw []byte) error {
	if err := unmarshal(raw, c); err != nil {
		return err
	}
	for _, address := range []struct{ key, value string }{{"listen", c.Listen}, {"channel", c.Channel}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return keyErrorf(address.key, "%q is no address and port", address.value)
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil && c.Seed != "" {
		return keyErrorf("seed", "%q is not 16 hex digits", c.Seed)
	}
	if err := c.Limits.check(); err != nil {
		return err
	}
	if len(c.RawSettings) == 0 {
		return &KeyError{"settings", ErrMissing}
	}
	if len(c.Bootstrap) == 0 {
		return &KeyError{"known", ErrMissing}
	}
	if c.Site, err = ParseSite(c.RawSettings); err != nil {
		return &KeyError{"settings", err}
	}
	c.Site.Seed = seed
	if err := c.Site.check(); err != nil {
		return &KeyError{"settings", err}
	}
	return nil
}

// unmarshal decodes JSON. It reports a value of the wrong type as a KeyError.
func unmarshal(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if typeError := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeError) && typeError.Field != "" {
		return keyErrorf(typeError.Field, "a %s can't be used here", typeError.Value)
	}
	return err
}
