// Package config is the one place where configuration is read, checked and given defaults. Its errors name the
// faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"reflect"
	"strconv"
)

// Config is what a director is told at its start.
type Config struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Seed        string          `json:"seed"`
	Channel     string          `json:"channel"`
	Bootstrap   json.RawMessage `json:"known"`
	Limits      Limits          `json:"limits"`
	RawSettings json.RawMessage `json:"settings"`
	Site        Site            `json:"-"`
	Digest      string          `json:"-"` // of the file's bytes
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// MaxProcs is how many cores the program may be busy on at a time.
func (l Limits) MaxProcs() int { return int(math.Ceil(l.Cores)) }

// own is how many descriptors are kept for the director itself: standard input, output and error, two of the runtime's poller
// and two of its control group's limits, the listener, a connection that was accepted beyond the limit, two of the command
// channel's, a file that is read again; and as many for what is closed and not yet given back, the operator's socket and talk.
func (l Limits) own() int { return max(12, l.Sockets/8) }

// MaxClientConnections is how many connections of clients are held at most; usual ones hold a third of the descriptors.
func (l Limits) MaxClientConnections() int { return min(l.Sockets/2, (l.Sockets-l.own())*4/7) }

// MaxNodeConnections is how many connections to nodes are held at most, but for a quarter more where a node has no other (Firsts of back). With
// clients' and the director's own they stay within the limit, however many nodes there are.
func (l Limits) MaxNodeConnections() int {
	return (l.Sockets - l.own() - l.MaxClientConnections()) * 4 / 5
}

// MemoryLimit is what Go's runtime may use, in bytes; the rest is for what it does not count.
func (l Limits) MemoryLimit() int64 { return int64(l.MemoryMB) << 20 * 3 / 4 }

// MaxBuffers is how many buffers of a size may be out together.
func (l Limits) MaxBuffers(size int) int { return int(l.MemoryLimit() / 2 / int64(size)) }

// Load reads the file that NODE_CONFIG names.
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
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
	}
	return c, c.parse(raw)
}

// Reload gives the configuration that was read again for a director that runs on c. What can't change while requests go
// on must be as it was; the seed is for a start alone.
func (c Config) Reload(next Config) (Config, error) {
	next.Seed, next.Site.Seed = c.Seed, c.Site.Seed
	for _, a := range []struct {
		key  string
		same bool
	}{
		{"name", next.Name == c.Name}, {"listen", next.Listen == c.Listen},
		{"settings", reflect.DeepEqual(next.Site, c.Site)},
	} {
		if !a.same {
			return c, fmt.Errorf("%s: a change needs a restart", a.key)
		}
	}
	return next, nil
}

func (c *Config) parse(raw []byte) error {
	if err := unmarshal(raw, c); err != nil {
		return err
	}
	for _, a := range []struct{ key, value string }{{"listen", c.Listen}, {"channel", c.Channel}} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fmt.Errorf("%s: %q is no address and port", a.key, a.value)
		}
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil && c.Seed != "" {
		return fmt.Errorf("seed: %q is not 16 hex digits", c.Seed)
	}
	switch {
	case c.Limits.Cores <= 0:
		return fmt.Errorf("limits.cores: %v is not above 0", c.Limits.Cores)
	case c.Limits.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb: %d is under 32", c.Limits.MemoryMB)
	case c.Limits.Sockets < 64:
		return fmt.Errorf("limits.sockets: %d is under 64", c.Limits.Sockets)
	case len(c.RawSettings) == 0:
		return errors.New("settings: missing")
	case len(c.Bootstrap) == 0:
		return errors.New("known: missing")
	}
	if c.Site, err = ParseSite(c.RawSettings); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Site.Seed = seed
	return c.Site.check()
}

// check says what sockets can't do without.
func (s Site) check() error {
	if err := s.shape(); err != nil {
		return err
	}
	for i, name := range s.TypeNames {
		if name == "" {
			return fmt.Errorf("settings: lanes[%d].name: missing", i)
		}
		if s.Settings.ContentTypes[i].Timeout <= 0 {
			return fmt.Errorf("settings: lanes[%d].hard-limit: not above 0", i)
		}
	}
	switch {
	case len(s.TypeNames) == 0:
		return errors.New("settings: lanes: missing")
	case s.Zone < 0 || s.Zone >= len(s.ZoneNames):
		return fmt.Errorf("settings: zone: %d is not in zones", s.Zone)
	case s.OriginKind < 0 || s.OriginKind >= len(s.KindNames):
		return fmt.Errorf("settings: specifics.origin-kind: %d is not in machine-types", s.OriginKind)
	case s.ConnectTimeout <= 0:
		return errors.New("settings: limits.connect-timeout: not above 0")
	case s.KeepAliveTimeout <= 0:
		return errors.New("settings: limits.keepalive: not above 0")
	case s.MaxAttempts <= 0:
		return errors.New("settings: limits.try-limit: not above 0")
	case s.PurgeRetention <= 0:
		return errors.New("settings: specifics.gone-everywhere: not above 0")
	}
	return nil
}

// shape says whether the settings are of one shape, old or new: a configuration that is half moved would hash by
// sizes while it learns from notes that are not there, or the other way round.
func (s Site) shape() error {
	weights, ok := weightsShape[s.Weights]
	if !ok {
		return fmt.Errorf("settings: weights: %q is not silent, nominal or rough", s.Weights)
	}
	notes, ok := notesShape[s.NoteLevel]
	if !ok {
		return fmt.Errorf("settings: specifics.note-level: %q is not all, hit or silent", s.NoteLevel)
	}
	if weights != notes {
		return fmt.Errorf("settings: specifics.note-level: %q is of the %s shape, but weights %q of the %s one",
			s.NoteLevel, notes, s.Weights, weights)
	}
	return nil
}
