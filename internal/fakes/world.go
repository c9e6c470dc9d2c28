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

// ContentType is a content type of the world.
type ContentType struct {
	Name              string
	LatencyObjective  time.Duration // target time,
	TransferFactor    float64       // longer by this multiple of the sending time
	Timeout           time.Duration // expiry
	PriorityWeight    float64
	MeanTransfer      time.Duration // mean sending time
	Sigma             float64       // of its logarithm
	IdempotentWithKey bool
	DedupWindow       time.Duration
	Uncacheable       bool
	RequestShare      float64 // of downloads
}

// Spec says what a world is made of. Capacities are in transfers at full pace.
type Spec struct {
	Seed                           uint64
	CacheNodes, Parents            int
	SecondPath                     bool    // directors with odd numbers reach the channel by another way, which can be cut
	Zones                          int     // locations, each with its caches, directors and link in, by turns; 0 is one
	CacheCapacity                  float64 // what a warm cache can send
	LinkCapacity                   float64 // the location's link in
	ParentCapacity, OriginCapacity float64
	FillSpeedup                    float64 // how much faster a fill runs than a transfer to a client
	OriginLatency                  time.Duration
	EdgeInitialShare               float64
	EdgeSlowStart                  time.Duration
	EdgeOverloadFactor             float64
	ParentInitialShare             float64
	ParentSlowStart                time.Duration
	ParentOverloadFactor           float64
	OverloadWindow                 time.Duration // pushed for so long, a cold one falls over
	CacheEntries                   int           // that a cache holds
	MaxQueueFactor                 float64       // requests in hand over Box from which a cache is full
	ColdEdges                      bool          // all caches start when the world does
	ColdParents                    bool
	Directors                      int
	MaxRetryAfter                  time.Duration
	ContentTypes                   []ContentType
	Objects                        int
	ZipfExponent                   float64
	Addresses                      map[string]string // fixed addresses, by node's name or "channel"; else a free port of 127.0.0.1
	Instant                        bool              // nodes answer at once, whatever is asked, and keep no books but of keys
	OnAnswer                       func(node string, fields map[string]string, answer string)
}

// DefaultSpec is a depot of a few caches after a power loss, in the figures of a usual deployment.
func DefaultSpec(boxes, directors int) Spec {
	box := 8.0
	return Spec{
		Seed: 1, CacheNodes: boxes, Parents: 2, CacheCapacity: box, LinkCapacity: box * float64(boxes) * 0.45, ParentCapacity: box * float64(boxes) * 0.6,
		OriginCapacity: box * float64(boxes) * 0.6, FillSpeedup: 3, OriginLatency: 40 * time.Millisecond, EdgeInitialShare: 0.2,
		EdgeSlowStart: 10 * time.Second, EdgeOverloadFactor: 4, ParentInitialShare: 0.1, ParentSlowStart: 20 * time.Second, ParentOverloadFactor: 2,
		OverloadWindow: 3 * time.Second, CacheEntries: 4000, MaxQueueFactor: 12, ColdEdges: true, Directors: directors, MaxRetryAfter: time.Second,
		Objects: 3000, ZipfExponent: 1.05,
		ContentTypes: []ContentType{
			{Name: "thumbnail", LatencyObjective: 250 * time.Millisecond, TransferFactor: 2, Timeout: 3 * time.Second, PriorityWeight: 1,
				MeanTransfer: 50 * time.Millisecond, Sigma: 0.7, RequestShare: 0.55},
			{Name: "preview-clip", LatencyObjective: 400 * time.Millisecond, TransferFactor: 2, Timeout: 6 * time.Second, PriorityWeight: 2,
				MeanTransfer: 200 * time.Millisecond, Sigma: 0.8, RequestShare: 0.42},
			{Name: "cover-pick", LatencyObjective: 700 * time.Millisecond, Timeout: 3 * time.Second, PriorityWeight: 3, IdempotentWithKey: true,
				DedupWindow: 3 * time.Second, MeanTransfer: 5 * time.Millisecond, Sigma: 0.3, Uncacheable: true, RequestShare: 0.03},
		},
	}
}

// Cluster is all that directors talk to.
type Cluster struct {
	Spec
	Nodes      []*Node // caches, parents, then the origin
	Clients    ClientStats
	ChannelMux http.ServeMux // of the command channel

	mu               sync.Mutex
	startedAt        time.Time
	links            []*sharedCapacity // of locations
	events           []map[string]any
	changed          chan struct{} // closed with every event
	channel          net.Listener
	server           *http.Server
	secondListener   net.Listener // another way to the channel, of directors with odd numbers; it can be cut
	secondServer     *http.Server
	attemptsInFlight map[string]int // ids out at nodes
	effects          map[string]effect
	purgedAt         map[string]time.Duration
	violations       Violations
	instantEffects   instantEffects
	names            int
	channelState     channelState
}

// channelState is how the command channel is, and who has called it. The world's lock guards it.
type channelState struct {
	mode       ChannelMode
	retryAfter int // Retry-After, in seconds
	calls      []ChannelCall
	capacity   ChannelCapacity
	busyUntil  time.Duration      // until then
	outages    [][2]time.Duration // when it did not serve
}

// knownFrom is when what was put on the channel at a time counts as told: while it is away nobody can know, and once it is back directors
// may take a while to ask.
func (s *channelState) knownFrom(at time.Duration) time.Duration {
	for _, a := range s.outages {
		if at >= a[0] && at < a[1] {
			return min(a[1], math.MaxInt64-2*repollWithin) + repollWithin
		}
	}
	return at
}

// ChannelCapacity is what a command channel can do; the zero value is one that can do all.
type ChannelCapacity struct {
	PerCall  time.Duration // that an answer takes,
	PerEvent time.Duration // and each event in it
	MaxWait  time.Duration // calls are turned away whose answer would take longer
}

// SetChannelCapacity says what the command channel can do from now on.
func (w *Cluster) SetChannelCapacity(c ChannelCapacity) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.channelState.capacity = c
}

// schedule books an answer with so many events, and says how long it takes; false where that is too long. The caller holds the lock.
func (s *channelState) schedule(now time.Duration, lines int) (time.Duration, bool) {
	takes := s.capacity.PerCall + time.Duration(lines)*s.capacity.PerEvent
	if from := max(now, s.busyUntil); takes > 0 {
		if from+takes-now > s.capacity.MaxWait {
			s.busyUntil = from + s.capacity.PerCall/8 // turning away costs something too
			return 0, false
		}
		s.busyUntil = from + takes
	}
	return max(0, s.busyUntil-now), true
}

// RollBackChannel has the command channel start anew with the events that it told last lost, as a service does that is brought back from a copy.
func (w *Cluster) RollBackChannel(events int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = w.events[:max(1, len(w.events)-events)]
	close(w.changed)
	w.changed = make(chan struct{})
}

// ChannelMode is how the command channel is.
type ChannelMode int

const (
	ChannelServing     ChannelMode = iota
	ChannelUnavailable             // it answers 503
	ChannelHanging                 // it takes calls and says nothing
	ChannelTruncating              // it breaks its answers off
)

// ChannelCall is one of the command channel's.
type ChannelCall struct {
	At       time.Duration
	Answered bool
	Refused  bool // away, or left without an answer
	Events   int  // events
}

// SetChannelMode says how the command channel is from now on. One that is short may say after how many seconds to come back; calls that
// wait are answered at once, as by a service that is started anew.
func (w *Cluster) SetChannelMode(how ChannelMode, back int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if was := w.channelState.mode; was == ChannelServing && how != ChannelServing {
		w.channelState.outages = append(w.channelState.outages, [2]time.Duration{w.now(), math.MaxInt64})
	} else if was != ChannelServing && how == ChannelServing {
		w.channelState.outages[len(w.channelState.outages)-1][1] = w.now()
	}
	w.channelState.mode, w.channelState.retryAfter = how, back
	close(w.changed)
	w.changed = make(chan struct{})
}

// ChannelCalls is every call so far.
func (w *Cluster) ChannelCalls() []ChannelCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.channelState.calls)
}

type effect struct {
	first time.Duration
	times int
}

// Violations counts what broke a rule, as the nodes see it.
type Violations struct {
	DrainedUses        int // requests or fills at a node later than the limit after it was told to drain
	ConcurrentAttempts int // a download's pulls out at two nodes
	RepeatedEffects    int // deduped downloads that had their effect twice
	OverloadedNodes    int // nodes pushed over
}

const (
	drainDeadline  = 1050 * time.Millisecond
	purgeDeadline  = 550 * time.Millisecond
	purgeRetention = 6 * time.Second
	repollWithin   = purgeRetention / 3
	cancelDelay    = 50 * time.Millisecond
)

// New starts a world. Close ends it.
func New(s Spec) (*Cluster, error) {
	w := &Cluster{
		Spec: s, startedAt: time.Now(), changed: make(chan struct{}), attemptsInFlight: map[string]int{}, effects: map[string]effect{},
		purgedAt: map[string]time.Duration{},
	}
	for range max(1, s.Zones) {
		w.links = append(w.links, &sharedCapacity{cluster: w, maxRate: s.FillSpeedup, capacity: func(time.Duration) float64 { return s.LinkCapacity }})
	}
	for i := range s.CacheNodes {
		if _, err := w.AddNode(Edge, fmt.Sprint("box-", i), s.ColdEdges); err != nil {
			return nil, err
		}
	}
	for i := range s.Parents {
		if _, err := w.AddNode(Parent, fmt.Sprint("parent-", i), s.ColdParents); err != nil {
			return nil, err
		}
	}
	if _, err := w.AddNode(Origin, "origin", false); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", w.address("channel"))
	if err != nil {
		return nil, err
	}
	w.channel = l
	w.ChannelMux.HandleFunc("/cmd/next", w.servePoll)
	w.server = &http.Server{Handler: &w.ChannelMux}
	go w.server.Serve(l)
	return w, w.CutSecondPath(false)
}

// Close ends all of it.
func (w *Cluster) Close() {
	w.server.Close()
	w.secondServer.Close()
	for _, n := range w.Nodes {
		n.Kill()
	}
}

// address is where something listens.
func (w *Cluster) address(name string) string {
	if addr := w.Addresses[name]; addr != "" {
		return addr
	}
	return "127.0.0.1:0"
}

// CutSecondPath says whether directors with odd numbers can reach the channel. Those that wait there are cut off.
func (w *Cluster) CutSecondPath(cut bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if cut {
		return w.secondServer.Close()
	}
	addr := "127.0.0.1:0"
	if w.secondListener != nil {
		addr = w.secondListener.Addr().String()
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	w.secondListener, w.secondServer = l, &http.Server{Handler: &w.ChannelMux}
	go w.secondServer.Serve(l)
	return nil
}

// MoveChannel has the command channel listen elsewhere, where directors are sent from now on; the old place is shut a while later.
func (w *Cluster) MoveChannel() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.server
	w.channel, w.server = l, &http.Server{Handler: &w.ChannelMux}
	go w.server.Serve(l)
	time.AfterFunc(channelMoveOverlap, func() { old.Close() })
	return nil
}

// channelMoveOverlap is how long the old place of a channel that has moved goes on.
const channelMoveOverlap = 1500 * time.Millisecond

// Node is the one of a name; nil for none.
func (w *Cluster) Node(name string) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodeByName(name)
}

// now is the time since the world's start.
func (w *Cluster) now() time.Duration { return time.Since(w.startedAt) }

// Now is the time since the world's start.
func (w *Cluster) Now() time.Duration { return w.now() }

// Violations gives the books.
func (w *Cluster) Violations() Violations {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.violations
	for _, n := range w.Nodes {
		if n.overloaded {
			b.OverloadedNodes++
		}
	}
	for _, e := range w.effects {
		if e.times > 1 {
			b.RepeatedEffects++
		}
	}
	return b
}

// publish puts an event on the command channel. The caller holds the lock.
func (w *Cluster) publish(event map[string]any) {
	event["cursor"] = len(w.events) + 1
	w.events = append(w.events, event)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Purge voids the copies of an object, or with none those of a group.
func (w *Cluster) Purge(object string, group int) {
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
	w.purgedAt[key] = w.now()
	w.publish(map[string]any{"drop": drop})
}

// mayKeep says whether a copy may still lie about. Nodes drop what was voided long ago, which is what directors are told of them.
// The caller holds the lock.
func (w *Cluster) mayKeep(object string, born time.Time) bool {
	number, _ := strconv.ParseUint(object, 16, 64)
	for _, key := range []string{"object " + object, fmt.Sprint("group ", groupOf(number))} {
		if at := w.purgedAt[key]; at > 0 && w.now() > at+purgeRetention && born.Before(w.startedAt.Add(at)) {
			return false
		}
	}
	return true
}

// bindingPurge is when copies of an object were last voided, and told of so long before a time; 0 for never.
func (w *Cluster) bindingPurge(object string, group int, asked time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	latest := time.Duration(0)
	for _, key := range []string{"object " + object, fmt.Sprint("group ", group)} {
		if at := w.purgedAt[key]; at > 0 && w.channelState.knownFrom(at)+purgeDeadline <= asked {
			latest = max(latest, at)
		}
	}
	return latest
}

// servePoll answers a director once there is more than it has, or after a while.
func (w *Cluster) servePoll(out http.ResponseWriter, r *http.Request) {
	resume, _ := strconv.Atoi(r.FormValue("resume"))
	block, _ := strconv.Atoi(r.FormValue("block"))
	timer := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	number := len(w.channelState.calls)
	w.channelState.calls = append(w.channelState.calls, ChannelCall{At: w.now()})
	for waiting := true; waiting && len(w.events) == resume && w.channelState.mode == ChannelServing; {
		news := w.changed
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
	last, how, back := len(w.events), w.channelState.mode, w.channelState.retryAfter
	takes, can := time.Duration(0), true
	if how == ChannelServing {
		if takes, can = w.channelState.schedule(w.now(), len(events)); !can {
			how = ChannelUnavailable
		}
	}
	w.channelState.calls[number].Answered, w.channelState.calls[number].Refused = how == ChannelServing, how != ChannelServing
	w.channelState.calls[number].Events = len(events)
	w.mu.Unlock()
	if !Sleep(r.Context(), takes) {
		return
	}
	switch how {
	case ChannelUnavailable:
		if back > 0 {
			out.Header().Set("Retry-After", strconv.Itoa(back))
		}
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	case ChannelHanging:
		<-r.Context().Done()
		return
	case ChannelTruncating:
		out.Header().Set("Content-Length", "4096")
		fmt.Fprintf(out, `{"cursor":%d,"cmds":[{"cur`, last)
		return
	}
	json.NewEncoder(out).Encode(map[string]any{"cursor": last, "cmds": events})
}

// zoneName is the name of a location.
func zoneName(i int) string {
	if i == 0 {
		return "town"
	}
	return fmt.Sprint("town-", i)
}

// trailingNumber is the one at a name's end.
func trailingNumber(name string) int {
	n, _ := strconv.Atoi(name[len(strings.TrimRight(name, "0123456789")):])
	return n
}

// ZoneOf is the location of the cache or director of a name, by its number.
func (w *Cluster) ZoneOf(name string) int { return trailingNumber(name) % len(w.links) }

// channelAddress is where a director reaches the channel. The caller holds the lock.
func (w *Cluster) channelAddress(name string) string {
	if trailingNumber(name)%2 == 1 && w.SecondPath {
		return w.secondListener.Addr().String()
	}
	return w.channel.Addr().String()
}

// Config is the platform's file for a director.
func (w *Cluster) Config(name, listen string, sockets, memoryMB int, cores float64) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	var lanes []any
	var maxAge, pass, parts []any
	for _, t := range w.ContentTypes {
		lane := map[string]any{
			"name": t.Name, "aim": t.LatencyObjective.Milliseconds(), "aim-stretch": t.TransferFactor, "hard-limit": t.Timeout.Milliseconds(),
			"repeat": "free", "value": t.PriorityWeight, "late-worth": 0.1,
		}
		if t.IdempotentWithKey {
			lane["repeat"], lane["dedup-window"], lane["dedup-scope"] = "guarded", t.DedupWindow.Milliseconds(), "all"
		}
		lanes = append(lanes, lane)
		maxAge, pass, parts = append(maxAge, 0), append(pass, t.Uncacheable), append(parts, false)
	}
	const pace = 2000.0
	zones, links, counts := []string{"hub"}, []float64{0}, []int{0}
	for i := range w.links {
		zones, links = append(zones, zoneName(i)), append(links, w.LinkCapacity*pace)
		counts = append(counts, (w.Directors+len(w.links)-1-i)/len(w.links))
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": fmt.Sprintf("%016x", w.Seed), "channel": w.channelAddress(name),
		"limits": map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets},
		"known":  map[string]any{"cursor": len(w.events), "cmds": w.events},
		"settings": map[string]any{
			"zone": 1 + w.ZoneOf(name), "zones": zones, "machine-types": []string{"edge", "parent", "origin"}, "lanes": lanes,
			"contract": map[string]any{"cold": w.EdgeSlowStart.Milliseconds(), "cold-from": w.EdgeInitialShare, "grace-to-answer": 8,
				"overload-for": w.OverloadWindow.Milliseconds(), "tip-multiple": w.EdgeOverloadFactor, "stop-sending-within": 1000},
			"limits": map[string]any{"cancel": true, "try-limit": 8, "retry-after": true, "peers": true,
				"max-retry-after": w.MaxRetryAfter.Milliseconds(), "connect-timeout": 400, "keepalive": 30000,
				"max-streams": 100},
			"specifics": map[string]any{"origin-kind": 2, "shield-kind": 1, "max-age": maxAge, "goes-through": pass,
				"in-pieces": parts, "note-level": "all", "shares-fills": true, "purge-grace": 500,
				"gone-everywhere": purgeRetention.Milliseconds(), "pace-kb-per-s": pace,
				"pipe-kb-per-s": links, "count-by-zone": counts,
				"parent-cold-from": w.ParentInitialShare, "parent-warms-in": w.ParentSlowStart.Milliseconds(),
				"parent-fall-multiple": w.ParentOverloadFactor},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// Object is one that clients ask for.
type Object struct {
	Type  *ContentType
	ID    string
	Group int
}

// transferMicros is an object's sending time at full pace, µs: the same wherever it is asked for.
func (w *Cluster) transferMicros(t *ContentType, object string) float64 {
	h := fnv.New64a()
	h.Write([]byte(object))
	r := rand.New(rand.NewPCG(h.Sum64(), 7))
	return float64(t.MeanTransfer.Microseconds()) * math.Exp(t.Sigma*r.NormFloat64()-t.Sigma*t.Sigma/2)
}

// DrawObject picks an object, a popular one more often.
func (w *Cluster) DrawObject(r *rand.Rand, z *Zipf) Object {
	t, at := &w.ContentTypes[0], r.Float64()
	for i := range w.ContentTypes {
		if t = &w.ContentTypes[i]; at < t.RequestShare {
			break
		}
		at -= t.RequestShare
	}
	n := z.Draw(r)
	return w.Object(t, n)
}

// Object is number n of a content type.
func (w *Cluster) Object(t *ContentType, n int) Object {
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
