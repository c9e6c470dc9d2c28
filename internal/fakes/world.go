// Package standin plays what a director talks to: cache nodes, parents, the origin, the command channel and clients, each on
// 127.0.0.1 and a port of its own. Nodes have a capacity, warm up, keep copies, and fall over when they are pushed; all of
// them keep books of what reached them, so that the rules can be checked from outside. Used by tests and by tallybench.
package fakes

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Type is a content type of the world.
type Type struct {
	Name        string
	Aim         time.Duration // target time,
	Stretch     float64       // longer by this multiple of the sending time
	Limit       time.Duration // expiry
	Value       float64
	Work        time.Duration // mean sending time
	Sigma       float64       // of its logarithm
	Deduped     bool
	Window      time.Duration
	PassThrough bool
	Share       float64 // of downloads
}

// Spec says what a world is made of. Capacities are in transfers at full pace.
type Spec struct {
	Seed           uint64
	Boxes, Parents int
	Sideways       bool    // directors with odd numbers reach the channel by another way, which can be cut
	Towns          int     // locations, each with its caches, directors and link in, by turns; 0 is one
	Box            float64 // what a warm cache can send
	Link           float64 // the location's link in
	Parent, Origin float64
	FillPace       float64 // how much faster a fill runs than a transfer to a client
	OriginTakes    time.Duration
	ColdFrom       float64
	Warm           time.Duration
	Multiple       float64
	ParentFrom     float64
	ParentWarm     time.Duration
	ParentMultiple float64
	Window         time.Duration // pushed for so long, a cold one falls over
	Copies         int           // that a cache holds
	Most           float64       // requests in hand over Box from which a cache is full
	Cold           bool          // all caches start when the world does
	ColdParents    bool
	Directors      int
	MaxComeBack    time.Duration
	Types          []Type
	Objects        int
	Zipf           float64
	Listen         map[string]string // fixed addresses, by node's name or "channel"; else a free port of 127.0.0.1
	Quick          bool              // nodes answer at once, whatever is asked, and keep no books but of keys
	Answered       func(node string, fields map[string]string, answer string)
}

// Depot is a depot of a few caches after a power loss, in the figures of a usual deployment.
func Depot(boxes, directors int) Spec {
	box := 8.0
	return Spec{
		Seed: 1, Boxes: boxes, Parents: 2, Box: box, Link: box * float64(boxes) * 0.45, Parent: box * float64(boxes) * 0.6,
		Origin: box * float64(boxes) * 0.6, FillPace: 3, OriginTakes: 40 * time.Millisecond, ColdFrom: 0.2,
		Warm: 10 * time.Second, Multiple: 4, ParentFrom: 0.1, ParentWarm: 20 * time.Second, ParentMultiple: 2,
		Window: 3 * time.Second, Copies: 4000, Most: 12, Cold: true, Directors: directors, MaxComeBack: time.Second,
		Objects: 3000, Zipf: 1.05,
		Types: []Type{
			{Name: "thumbnail", Aim: 250 * time.Millisecond, Stretch: 2, Limit: 3 * time.Second, Value: 1,
				Work: 50 * time.Millisecond, Sigma: 0.7, Share: 0.55},
			{Name: "preview-clip", Aim: 400 * time.Millisecond, Stretch: 2, Limit: 6 * time.Second, Value: 2,
				Work: 200 * time.Millisecond, Sigma: 0.8, Share: 0.42},
			{Name: "cover-pick", Aim: 700 * time.Millisecond, Limit: 3 * time.Second, Value: 3, Deduped: true,
				Window: 3 * time.Second, Work: 5 * time.Millisecond, Sigma: 0.3, PassThrough: true, Share: 0.03},
		},
	}
}

// World is all that directors talk to.
type World struct {
	Spec
	Nodes   []*Node // caches, parents, then the origin
	Clients Book
	Calls   http.ServeMux // of the command channel

	mu      sync.Mutex
	start   time.Time
	links   []*share // of locations
	events  []map[string]any
	news    chan struct{} // closed with every event
	channel net.Listener
	server  *http.Server
	side    net.Listener // another way to the channel, of directors with odd numbers; it can be cut
	sideway *http.Server
	open    map[string]int // ids out at nodes
	effects map[string]effect
	purged  map[string]time.Duration
	rules   Broken
	quick   quickEffects
	names   int
	service service
}

// service is how the command channel is, and who has called it. The world's lock guards it.
type service struct {
	how   Service
	back  int // Retry-After, in seconds
	calls []Call
	able  Capacity
	busy  time.Duration      // until then
	away  [][2]time.Duration // when it did not serve
}

// told is when what was put on the channel at a time counts as told: while it is away nobody can know, and once it is back directors
// may take a while to ask.
func (s *service) told(at time.Duration) time.Duration {
	for _, a := range s.away {
		if at >= a[0] && at < a[1] {
			return min(a[1], math.MaxInt64-2*backWithin) + backWithin
		}
	}
	return at
}

// Capacity is what a command channel can do; the zero value is one that can do all.
type Capacity struct {
	Call time.Duration // that an answer takes,
	Line time.Duration // and each event in it
	Most time.Duration // calls are turned away whose answer would take longer
}

// Limit says what the command channel can do from now on.
func (w *World) Limit(c Capacity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.service.able = c
}

// work books an answer with so many events, and says how long it takes; false where that is too long. The caller holds the lock.
func (s *service) work(now time.Duration, lines int) (time.Duration, bool) {
	takes := s.able.Call + time.Duration(lines)*s.able.Line
	if from := max(now, s.busy); takes > 0 {
		if from+takes-now > s.able.Most {
			s.busy = from + s.able.Call/8 // turning away costs something too
			return 0, false
		}
		s.busy = from + takes
	}
	return max(0, s.busy-now), true
}

// Forget has the command channel start anew with the events that it told last lost, as a service does that is brought back from a copy.
func (w *World) Forget(events int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = w.events[:max(1, len(w.events)-events)]
	close(w.news)
	w.news = make(chan struct{})
}

// Service is how the command channel is.
type Service int

const (
	Serving Service = iota
	Short           // it answers 503
	Hanging         // it takes calls and says nothing
	Halving         // it breaks its answers off
)

// Call is one of the command channel's.
type Call struct {
	At       time.Duration
	Answered bool
	Turned   bool // away, or left without an answer
	Lines    int  // events
}

// Serve says how the command channel is from now on. One that is short may say after how many seconds to come back; calls that
// wait are answered at once, as by a service that is started anew.
func (w *World) Serve(how Service, back int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was := w.service.how; was == Serving && how != Serving {
		w.service.away = append(w.service.away, [2]time.Duration{w.now(), math.MaxInt64})
	} else if was != Serving && how == Serving {
		w.service.away[len(w.service.away)-1][1] = w.now()
	}
	w.service.how, w.service.back = how, back
	close(w.news)
	w.news = make(chan struct{})
}

// Called is every call so far.
func (w *World) Called() []Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.service.calls)
}

type effect struct {
	first time.Duration
	times int
}

// Broken counts what broke a rule, as the nodes see it.
type Broken struct {
	Drains   int // requests or fills at a node later than the limit after it was told to drain
	Together int // a download's pulls out at two nodes
	Effects  int // deduped downloads that had their effect twice
	Fallen   int // nodes pushed over
}

const (
	drainLimit = 1050 * time.Millisecond
	purgeLimit = 550 * time.Millisecond
	purgeKept  = 6 * time.Second
	backWithin = purgeKept / 3
	crossing   = 50 * time.Millisecond
)

// New starts a world. Close ends it.
func New(s Spec) (*World, error) {
	w := &World{
		Spec: s, start: time.Now(), news: make(chan struct{}), open: map[string]int{}, effects: map[string]effect{},
		purged: map[string]time.Duration{},
	}
	for range max(1, s.Towns) {
		w.links = append(w.links, &share{w: w, pace: s.FillPace, able: func(time.Duration) float64 { return s.Link }})
	}
	for i := range s.Boxes {
		if _, err := w.Add(Edge, fmt.Sprint("box-", i), s.Cold); err != nil {
			return nil, err
		}
	}
	for i := range s.Parents {
		if _, err := w.Add(Parent, fmt.Sprint("parent-", i), s.ColdParents); err != nil {
			return nil, err
		}
	}
	if _, err := w.Add(Origin, "origin", false); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", w.address("channel"))
	if err != nil {
		return nil, err
	}
	w.channel = l
	w.Calls.HandleFunc("/cmd/next", w.next)
	w.server = &http.Server{Handler: &w.Calls}
	go w.server.Serve(l)
	return w, w.Cut(false)
}

// Close ends all of it.
func (w *World) Close() {
	w.server.Close()
	w.sideway.Close()
	for _, n := range w.Nodes {
		n.Die()
	}
}

// address is where something listens.
func (w *World) address(name string) string {
	if addr := w.Listen[name]; addr != "" {
		return addr
	}
	return "127.0.0.1:0"
}

// Cut says whether directors with odd numbers can reach the channel. Those that wait there are cut off.
func (w *World) Cut(cut bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut {
		return w.sideway.Close()
	}
	addr := "127.0.0.1:0"
	if w.side != nil {
		addr = w.side.Addr().String()
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	w.side, w.sideway = l, &http.Server{Handler: &w.Calls}
	go w.sideway.Serve(l)
	return nil
}

// Move has the command channel listen elsewhere, where directors are sent from now on; the old place is shut a while later.
func (w *World) Move() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.server
	w.channel, w.server = l, &http.Server{Handler: &w.Calls}
	go w.server.Serve(l)
	time.AfterFunc(moves, func() { old.Close() })
	return nil
}

// moves is how long the old place of a channel that has moved goes on.
const moves = 1500 * time.Millisecond

// Node is the one of a name; nil for none.
func (w *World) Node(name string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byName(name)
}

// now is the time since the world's start.
func (w *World) now() time.Duration { return time.Since(w.start) }

// Now is the time since the world's start.
func (w *World) Now() time.Duration { return w.now() }

// Broken gives the books.
func (w *World) Broken() Broken {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.rules
	for _, n := range w.Nodes {
		if n.fallen {
			b.Fallen++
		}
	}
	for _, e := range w.effects {
		if e.times > 1 {
			b.Effects++
		}
	}
	return b
}

// tell puts an event on the command channel. The caller holds the lock.
func (w *World) tell(event map[string]any) {
	event["cursor"] = len(w.events) + 1
	w.events = append(w.events, event)
	close(w.news)
	w.news = make(chan struct{})
}

// Purge voids the copies of an object, or with none those of a group.
func (w *World) Purge(object string, group int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	drop := map[string]any{"when": time.Now().UnixMilli()}
	key := "object " + object
	if object != "" {
		drop["id"] = object
	} else {
		drop["family"] = group
		key = fmt.Sprint("group ", group)
	}
	w.purged[key] = w.now()
	w.tell(map[string]any{"drop": drop})
}

// kept says whether a copy may still lie about. Nodes drop what was voided long ago, which is what directors are told of them.
// The caller holds the lock.
func (w *World) kept(object string, born time.Time) bool {
	number, _ := strconv.ParseUint(object, 16, 64)
	for _, key := range []string{"object " + object, fmt.Sprint("group ", groupOf(number))} {
		if at := w.purged[key]; at > 0 && w.now() > at+purgeKept && born.Before(w.start.Add(at)) {
			return false
		}
	}
	return true
}

// void is when copies of an object were last voided, and told of so long before a time; 0 for never.
func (w *World) void(object string, group int, asked time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := time.Duration(0)
	for _, key := range []string{"object " + object, fmt.Sprint("group ", group)} {
		if at := w.purged[key]; at > 0 && w.service.told(at)+purgeLimit <= asked {
			latest = max(latest, at)
		}
	}
	return latest
}

// next answers a director once there is more than it has, or after a while.
func (w *World) next(out http.ResponseWriter, r *http.Request) {
	resume, _ := strconv.Atoi(r.FormValue("resume"))
	block, _ := strconv.Atoi(r.FormValue("block"))
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	number := len(w.service.calls)
	w.service.calls = append(w.service.calls, Call{At: w.now()})
	for waiting := true; waiting && len(w.events) == resume && w.service.how == Serving; {
		news := w.news
		w.mu.Unlock()
		select {
		case <-news:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	events := slices.Clone(w.events[min(max(0, resume), len(w.events)):])
	last, how, back := len(w.events), w.service.how, w.service.back
	takes, can := time.Duration(0), true
	if how == Serving {
		if takes, can = w.service.work(w.now(), len(events)); !can {
			how = Short
		}
	}
	w.service.calls[number].Answered, w.service.calls[number].Turned = how == Serving, how != Serving
	w.service.calls[number].Lines = len(events)
	w.mu.Unlock()
	if !Sleep(r.Context(), takes) {
		return
	}
	switch how {
	case Short:
		if back > 0 {
			out.Header().Set("Retry-After", strconv.Itoa(back))
		}
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case Hanging:
		<-r.Context().Done()
		return
	case Halving:
		out.Header().Set("Content-Length", "4096")
		fmt.Fprintf(out, `{"cursor":%d,"cmds":[{"cur`, last)
		return
	}
	json.NewEncoder(out).Encode(map[string]any{"cursor": last, "cmds": events})
}

// town is the name of a location.
func town(i int) string {
	if i == 0 {
		return "town"
	}
	return fmt.Sprint("town-", i)
}

// number is the one at a name's end.
func number(name string) int {
	n, _ := strconv.Atoi(name[len(strings.TrimRight(name, "0123456789")):])
	return n
}

// TownOf is the location of the cache or director of a name, by its number.
func (w *World) TownOf(name string) int { return number(name) % len(w.links) }

// way is where a director reaches the channel. The caller holds the lock.
func (w *World) way(name string) string {
	if number(name)%2 == 1 && w.Sideways {
		return w.side.Addr().String()
	}
	return w.channel.Addr().String()
}

// Config is the platform's file for a director.
func (w *World) Config(name, listen string, sockets, memoryMB int, cores float64) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lanes []any
	var maxAge, pass, parts []any
	for _, t := range w.Types {
		lane := map[string]any{
			"name": t.Name, "aim": t.Aim.Milliseconds(), "aim-stretch": t.Stretch, "hard-limit": t.Limit.Milliseconds(),
			"repeat": "free", "value": t.Value, "late-worth": 0.1,
		}
		if t.Deduped {
			lane["repeat"], lane["dedup-window"], lane["dedup-scope"] = "guarded", t.Window.Milliseconds(), "all"
		}
		lanes = append(lanes, lane)
		maxAge, pass, parts = append(maxAge, 0), append(pass, t.PassThrough), append(parts, false)
	}
	const pace = 2000.0
	zones, links, counts := []string{"hub"}, []float64{0}, []int{0}
	for i := range w.links {
		zones, links = append(zones, town(i)), append(links, w.Link*pace)
		counts = append(counts, (w.Directors+len(w.links)-1-i)/len(w.links))
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": fmt.Sprintf("%016x", w.Seed), "channel": w.way(name),
		"limits": map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets},
		"known":  map[string]any{"cursor": len(w.events), "cmds": w.events},
		"settings": map[string]any{
			"zone": 1 + w.TownOf(name), "zones": zones, "machine-types": []string{"edge", "parent", "origin"}, "lanes": lanes,
			"contract": map[string]any{"cold": w.Warm.Milliseconds(), "cold-from": w.ColdFrom, "grace-to-answer": 8,
				"overload-for": w.Window.Milliseconds(), "tip-multiple": w.Multiple, "stop-sending-within": 1000},
			"limits": map[string]any{"cancel": true, "try-limit": 8, "retry-after": true, "peers": true,
				"max-retry-after": w.MaxComeBack.Milliseconds(), "connect-timeout": 400, "keepalive": 30000,
				"max-streams": 100},
			"specifics": map[string]any{"origin-kind": 2, "shield-kind": 1, "max-age": maxAge, "goes-through": pass,
				"in-pieces": parts, "note-level": "all", "shares-fills": true, "purge-grace": 500,
				"gone-everywhere": purgeKept.Milliseconds(), "pace-kb-per-s": pace,
				"pipe-kb-per-s": links, "count-by-zone": counts,
				"parent-cold-from": w.ParentFrom, "parent-warms-in": w.ParentWarm.Milliseconds(),
				"parent-fall-multiple": w.ParentMultiple},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// Object is one that clients ask for.
type Object struct {
	Type  *Type
	ID    string
	Group int
}

// work is an object's sending time at full pace, µs: the same wherever it is asked for.
func (w *World) work(t *Type, object string) float64 {
	h := fnv.New64a()
	h.Write([]byte(object))
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	return float64(t.Work.Microseconds()) * math.Exp(t.Sigma*r.NormFloat64()-t.Sigma*t.Sigma/2)
}

// Draw picks an object, a popular one more often.
func (w *World) Draw(r *rand.Rand, z *Zipf) Object {
	t, at := &w.Types[0], r.Float64()
	for i := range w.Types {
		if t = &w.Types[i]; at < t.Share {
			break
		}
		at -= t.Share
	}
	n := z.Draw(r)
	return w.Object(t, n)
}

// Object is number n of a content type.
func (w *World) Object(t *Type, n int) Object {
	h := fnv.New64a()
	fmt.Fprint(h, t.Name, n)
	return Object{t, fmt.Sprintf("%016x", h.Sum64()), groupOf(h.Sum64())}
}

func groupOf(number uint64) int { return int(number % 256) }

// Zipf draws numbers from 0 by Zipf's law, for any exponent.
type Zipf struct{ sums []float64 }

// NewZipf makes one over so many numbers.
func NewZipf(n int, exponent float64) *Zipf {
	z := &Zipf{make([]float64, n)}
	sum := 0.0
	for i := range z.sums {
		sum += math.Pow(float64(i+1), -exponent)
		z.sums[i] = sum
	}
	return z
}

// Draw draws one.
func (z *Zipf) Draw(r *rand.Rand) int {
	at, _ := slices.BinarySearch(z.sums, r.Float64()*z.sums[len(z.sums)-1])
	return min(at, len(z.sums)-1)
}
