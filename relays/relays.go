// Package relays decides which of the directors that know each other ask the command channel, and what the others make of what they
// are told in its place. A few of a location, by hash out of those that are there, follow the channel; the others hear two of them, and
// take a list from them only where both tell the same one. It does no I/O, and the clock is given. docs/relays.md has the argument why
// what comes twice, late or from one that is itself behind undoes nothing.
package relays

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"tallyproxy/backoff"
	d "tallyproxy/policy"
)

// Endpoint is a node as the channel lists it.
type Endpoint struct {
	ID      string          `json:"i"`
	Address string          `json:"a"`
	Zone    int             `json:"z"`
	Kind    int             `json:"k"`
	Cell    int             `json:"c,omitempty"`
	Weight  float64         `json:"w"`
	Started d.Micros        `json:"s,omitempty"`
	State   d.EndpointState `json:"x,omitempty"`
}

// Merge takes rows of the channel into a list; a complete one names all there are.
func Merge(list map[string]Endpoint, rows []Endpoint, complete bool) {
	if complete {
		clear(list)
	}
	for _, r := range rows {
		if list[r.ID] = r; r.State == d.Removed {
			delete(list, r.ID)
		}
	}
}

// SortedEndpoints are those of a list, by id.
func SortedEndpoints(list map[string]Endpoint) (rows []Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(list)) {
		rows = append(rows, list[id])
	}
	return rows
}

// Diff is what makes another list of one: rows that are new or changed, and those that are gone.
func Diff(list map[string]Endpoint, to []Endpoint) (rows []Endpoint) {
	there := make(map[string]bool, len(to))
	for _, r := range to {
		if there[r.ID] = true; list[r.ID] != r {
			rows = append(rows, r)
		}
	}
	for _, r := range SortedEndpoints(list) {
		if !there[r.ID] {
			r.State = d.Removed
			rows = append(rows, r)
		}
	}
	return rows
}

// Sum tells lists apart: the same for the same rows, whoever tells them.
func Sum(rows []Endpoint) string {
	raw, _ := json.Marshal(rows)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:12])
}

// Query is a question to a source, which Answer answers. Number is the asker's own clock: what is told counts from then.
type Query struct {
	SentAt      d.Micros `json:"n"`
	PurgeDigest uint64   `json:"w"` // sum of the purges of late that the asker knows
}

// Response is a source's. Age is how long ago its list is known to have been the channel's, negative where it never was.
type Response struct {
	SentAt  d.Micros `json:"n"`
	Age     d.Micros `json:"a"`
	ListSum string   `json:"s"` // of the list
}

// Message is what one director says to another of it; one of the four is there.
type Message struct {
	Query    *Query     `json:"q,omitempty"`
	Response *Response  `json:"a,omitempty"`
	WantList string     `json:"w,omitempty"` // the list of this sum, please
	List     []Endpoint `json:"l,omitempty"` // here it is
}

// Settings are a director's own, and times as ratios to the platform's settings.
type Settings struct {
	Name          string
	Delegates     int      // of a location, that ask the channel; 0: every director does
	ZoneCount     int      // that the settings name,
	KindCount     int      // and kinds of machines
	QueryInterval d.Micros // how often the others ask their sources, in a location of Crowd or fewer
	CrowdSize     int
	StaleAfter    d.Micros // one that has not heard the channel for so long is behind
	StartupWait   d.Micros // one that has started looks for others for so long, before it asks the channel itself
	DemandWindow  d.Micros // one that is asked follows for so long
}

const (
	sources  = 2    // that one who hears asks
	silent   = 2    // questions without an answer, in a row, and a source is gone
	deputies = 2    // as many times the followers may be had to follow, by being asked
	recent   = 4    // lists remembered of each source
	longest  = 8192 // rows of a list
	rest     = 16   // questions for which one that was gone is not asked
)

// DeriveSettings gives the settings that follow from the platform's. What a purge is heeded within has room for two questions without an
// answer, two more to others, and a call.
func DeriveSettings(name string, followers, zones, kinds int, s d.Settings) Settings {
	grace := cmp.Or(s.PurgePropagation, s.ConnectTimeout)
	return Settings{Name: name, Delegates: followers, ZoneCount: zones, KindCount: kinds, QueryInterval: grace / 4, CrowdSize: 128, StaleAfter: 2 * grace, StartupWait: s.ConnectTimeout, DemandWindow: grace}
}

// Relay is one director's. Calls must not overlap.
type Relay struct {
	s      Settings
	born   d.Micros
	order  []string // of the location's that are there, this one among them, as they come to follow
	names  []string // as it was told
	mine   int      // its place among them
	next   []string // that it would ask
	asked  map[string]*source
	by     d.Micros // when another last asked this one
	ticked d.Micros // when it last looked
	deaf   d.Micros // since when no source has answered,
	lonely d.Micros // and since when none whose word is new
	own    d.Micros // when the own channel was last heard
	list   string   // sum of the list in force
	began  d.Micros // until when that is known to hold
}

// source is one that is asked.
type source struct {
	sent   d.Micros // the question that is out; 0 for none
	late   d.Micros // that this one was itself since then
	asked  d.Micros
	missed int
	until  d.Micros // gone, and not asked before this
	told   d.Micros // its word of the channel is as new as this, by the own clock; 0 for none
	heard  d.Micros // when it last answered
	lists  []told   // the latest last
}

type told struct {
	sum string
	at  d.Micros // it was the channel's list then
}

// New makes a book that knows of nobody.
func New(now d.Micros, s Settings) *Relay {
	return &Relay{s: s, born: now, deaf: now, lonely: now, by: now - s.DemandWindow, own: now - 2*s.StaleAfter, order: []string{s.Name}, asked: map[string]*source{}}
}

// SetMembers says who of the location is there, besides this one.
func (b *Relay) SetMembers(names []string) {
	if slices.Equal(names, b.names) {
		return
	}
	b.names = names
	all := append([]string{b.s.Name}, names...)
	slices.SortFunc(all, func(x, y string) int {
		return cmp.Or(cmp.Compare(backoff.Seed(0, x), backoff.Seed(0, y)), cmp.Compare(x, y))
	})
	all = slices.Compact(all)
	b.order, b.mine = all, slices.Index(all, b.s.Name)
	b.next = b.candidates()
	maps.DeleteFunc(b.asked, func(name string, _ *source) bool { return !slices.Contains(all, name) })
}

// isDelegate says whether this one follows by its place.
func (b *Relay) isDelegate() bool { return b.s.Delegates == 0 || b.mine < b.s.Delegates }

// ShouldPoll says whether this director asks the channel itself now: it is one of those that follow, another has asked it of late, it hears
// from nobody, or all whom it hears are behind and it is its turn.
func (b *Relay) ShouldPoll(now d.Micros) bool {
	if b.s.Delegates == 0 {
		return true
	}
	if len(b.order) == 1 && now-b.born < b.s.StartupWait {
		return false // it looks for others first
	}
	looked := now // a director that is late itself has not looked whom it hears
	if b.ticked > 0 {
		looked = min(now, b.ticked+b.s.QueryInterval/2)
	}
	return b.isDelegate() || now-b.by < b.s.DemandWindow || looked-max(b.deaf, b.born+b.s.StartupWait) >= b.every() || b.turn(looked)
}

// turn says whether it is this one's turn to see for itself while all whom it hears are behind: as many at a time as follow, by their
// places, and who has found the channel there goes on.
func (b *Relay) turn(now d.Micros) bool {
	behind := now - b.lonely - b.s.StaleAfter
	if behind < 0 {
		return false
	}
	if now-b.own < b.s.StaleAfter {
		return true
	}
	turns := d.Micros((len(b.order) + b.s.Delegates - 1) / b.s.Delegates)
	return behind/b.s.StaleAfter%turns == d.Micros(b.mine/b.s.Delegates)-1
}

// every is how often sources are asked: less often where many ask the same.
func (b *Relay) every() d.Micros {
	return b.s.QueryInterval * d.Micros(max(1, len(b.order)/b.s.CrowdSize))
}

// candidates are those that may be asked, as this one prefers them: the followers, each director beginning elsewhere, then the next.
func (b *Relay) candidates() (all []string) {
	all = slices.DeleteFunc(slices.Clone(b.order[:min(len(b.order), deputies*b.s.Delegates+1)]), func(n string) bool { return n == b.s.Name })
	first := min(len(all), b.s.Delegates)
	me := backoff.Seed(0, b.s.Name)
	slices.SortFunc(all[:first], func(x, y string) int { return cmp.Compare(backoff.Seed(me, x), backoff.Seed(me, y)) })
	return all
}

// Tick says whom to ask now; the question's number is the time. One that does not answer once has another asked beside it. It is to be
// called every half of Every: where it was not, this director was late itself, and what it was told may lie unread. That time is not held
// against others. Guards against a fleet that has no processors for a moment, and then calls the channel as one.
func (b *Relay) Tick(now d.Micros) (ask []string) {
	gap := now - b.ticked
	first := b.ticked == 0
	if b.ticked = now; !first && gap > b.s.QueryInterval {
		late := gap - b.s.QueryInterval/2
		b.deaf, b.lonely = min(now, b.deaf+late), min(now, b.lonely+late)
		for _, s := range b.asked {
			s.late += late
		}
	}
	if b.isDelegate() {
		b.deaf, b.lonely = now, now
		return nil
	}
	want := sources
	for _, name := range b.next {
		if want <= 0 {
			break
		}
		s := b.asked[name]
		if s == nil {
			s = &source{asked: now - b.every()}
			b.asked[name] = s
		}
		if s.sent > 0 && now-s.sent-s.late >= b.every() {
			s.sent = 0
			if s.missed++; s.missed >= silent {
				s.missed, s.until, s.told, s.lists = 0, now+rest*b.s.QueryInterval, 0, nil
			}
		}
		if now < s.until {
			continue
		}
		if s.missed == 0 && (s.heard == 0 || !b.behind(now, s)) {
			want-- // as far as is known it will do; one that has missed an answer, or is behind, is asked, but others too
		}
		if s.missed == 0 && s.heard > 0 {
			b.deaf = now
			if !b.behind(now, s) {
				b.lonely = now
			}
		}
		if s.sent == 0 && now-s.asked >= b.every() {
			s.sent, s.asked, s.late = now, now, 0
			ask = append(ask, name)
		}
	}
	return ask
}

func (b *Relay) behind(now d.Micros, s *source) bool {
	return s.told == 0 || now-s.told > b.s.StaleAfter
}

// HandleQuery takes another's question, and gives the answer for it. Who is asked follows for a while, where it is among the next to.
func (b *Relay) HandleQuery(now d.Micros, a Query) Response {
	if b.mine < deputies*b.s.Delegates {
		b.by = now
	}
	if b.list == "" {
		return Response{SentAt: a.SentAt, Age: -1}
	}
	return Response{a.SentAt, max(0, now-b.began), b.list}
}

// HandleResponse takes a source's answer. Want is the sum of a list that two sources have told and that is not in force here: it is to be
// had from this one, and to be taken by Take.
func (b *Relay) HandleResponse(now d.Micros, from string, a Response) (want string) {
	s := b.asked[from]
	if s == nil || s.sent == 0 || a.SentAt != s.sent || a.SentAt > now || a.Age < -1 {
		return "" // late, or never asked for: it may say what was so long ago
	}
	s.sent, s.missed, s.until, s.heard = 0, 0, 0, now
	if a.Age < 0 || a.ListSum == "" {
		return ""
	}
	at := a.SentAt - a.Age // it said so after it was asked, so the call began no earlier
	s.told = max(s.told, at)
	if last := len(s.lists) - 1; last >= 0 && s.lists[last].sum == a.ListSum {
		s.lists[last].at = max(s.lists[last].at, at)
	} else if s.lists = append(s.lists, told{a.ListSum, at}); len(s.lists) > recent {
		s.lists = s.lists[1:]
	}
	sum, until := b.agreed()
	if until <= b.began {
		return ""
	}
	if sum == b.list {
		b.began = until
		return ""
	}
	return sum
}

// agreed is the list that two sources have told, and until when both have; the newest such.
func (b *Relay) agreed() (sum string, until d.Micros) {
	for _, s := range b.asked {
		for _, o := range b.asked {
			if s == o {
				continue
			}
			for _, x := range s.lists {
				for _, y := range o.lists {
					if at := min(x.at, y.at); x.sum == y.sum && (at > until || at == until && x.sum < sum) {
						sum, until = x.sum, at
					}
				}
			}
		}
	}
	return sum, until
}

// AcceptList takes a list that was wanted, if it still is: it is what two sources have told. From then on it is in force, and is known to
// hold until the time given.
func (b *Relay) AcceptList(rows []Endpoint) (until d.Micros, ok bool) {
	sum, until := b.agreed()
	if sum == "" || until <= b.began || sum != Sum(rows) || !b.sound(rows) {
		return 0, false
	}
	b.list, b.began = sum, until
	return until, true
}

// sound says whether a list can be used here: one of another fleet has zones and kinds that the settings don't name.
func (b *Relay) sound(rows []Endpoint) bool {
	return len(rows) <= longest && !slices.ContainsFunc(rows, func(r Endpoint) bool {
		return r.ID == "" || len(r.ID)+len(r.Address) > 512 || r.Zone < 0 || r.Zone >= b.s.ZoneCount || r.Kind < 0 || r.Kind >= b.s.KindCount ||
			r.State != d.Ready && r.State != d.Draining || !(r.Weight >= 0)
	})
}

// PollSucceeded takes the sum of the list that the own channel has told, by a call that began at a time; news are always heeded.
func (b *Relay) PollSucceeded(now d.Micros, sum string, began d.Micros, news bool) {
	if b.own = now; news || began >= b.began {
		b.list, b.began = sum, began
	}
}

// InForce is until when what is in force is known to hold, by the own clock, and the list's sum.
func (b *Relay) InForce() (at d.Micros, sum string) { return b.began, b.list }

// Report is what is told of it.
type Report struct {
	Polls     bool     `json:"calls"`   // it asks the channel itself
	Delegate  bool     `json:"chosen"`  // by its place
	Sources   []string `json:"sources"` // that have answered lately and are not behind
	AgeMicros int64    `json:"age_us"`  // how long ago the list that is in force is known to have been the channel's
	ListSum   string   `json:"sum"`     // of that list
}

// Report tells of it.
func (b *Relay) Report(now d.Micros) Report {
	r := Report{Polls: b.ShouldPoll(now), Delegate: b.isDelegate(), Sources: []string{}, AgeMicros: int64(now - b.began), ListSum: b.list}
	for _, name := range slices.Sorted(maps.Keys(b.asked)) {
		if s := b.asked[name]; s.heard > 0 && now-s.heard < silent*b.every() && !b.behind(now, s) {
			r.Sources = append(r.Sources, name)
		}
	}
	return r
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}
