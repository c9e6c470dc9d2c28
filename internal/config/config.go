// Package config is the one place where configuration is read, checked and given defaults: the platform's JSON (Config), the
// operator's Starlark script (Operator) and a fleet's inventory, a Starlark script too (Inventory). A file is taken whole or
// refused with an error that names the faulty key, and in scripts the line. Nothing here keeps state: every function may be
// called from any goroutine.
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
	Name        string          `json:"name"`     // of the director; $NODE_NAME where the file has none
	Listen      string          `json:"listen"`   // address and port for clients; $NODE_LISTEN where the file has none
	Seed        string          `json:"seed"`     // of random choices, up to 16 hex digits; empty for 0
	Channel     string          `json:"channel"`  // address and port of the command channel
	Bootstrap   json.RawMessage `json:"known"`    // commands of the channel that are known at the start, in its own format
	Limits      Limits          `json:"limits"`   // of the machine
	RawSettings json.RawMessage `json:"settings"` // the text that Site is read from
	Site        Site            `json:"-"`        // RawSettings, parsed and checked
	Digest      string          `json:"-"`        // of the file's bytes
}

// Digest returns the SHA-256 of a file's text in hex digits.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Load reads and checks the file that the environment variable NODE_CONFIG names. Errors of the text are of type KeyError,
// or of the JSON syntax.
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

// Reload returns what a director that runs on c goes on with once next was read: next, but with the seed of the start. It
// returns c and an error that wraps ErrNeedsRestart where next changes what can't change while requests are open.
func (c Config) Reload(next Config) (Config, error) {
	next.Seed, next.Site.Seed = c.Seed, c.Site.Seed
	for _, fixed := range []struct {
		key  string
		same bool
	}{
		{"name", next.Name == c.Name}, {"listen", next.Listen == c.Listen},
		{"settings", reflect.DeepEqual(next.Site, c.Site)},
	} {
		if !fixed.same {
			return c, keyErrorf(fixed.key, "a change %w", ErrNeedsRestart)
		}
	}
	return next, nil
}

// parse reads a file's text over the defaults that c holds, and checks it.
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

// unmarshal decodes JSON; a value of the wrong type is a KeyError.
func unmarshal(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
		return keyErrorf(wrong.Field, "a %s can't be used here", wrong.Value)
	}
	return err
}
