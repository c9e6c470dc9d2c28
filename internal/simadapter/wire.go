// Package wire speaks the bench's wire: it reads batches, calls the decision module of each instance and
// writes what the module answers. It keeps downloads and timers in hand and decides nothing.
package simadapter

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// Serve answers batches until the input ends. Malformed input ends it with an error that names the line.
func Serve(in io.Reader, out io.Writer, start func(policy.Settings) policy.Policy) error {
	h := &host{
		in: bufio.NewReaderSize(in, 1<<16), out: bufio.NewWriterSize(out, 1<<16),
		start: start, instances: map[string]*instance{},
	}
	for {
		msg, err := h.next()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.handle(msg)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
	}
}

type host struct {
	in        *bufio.Reader
	out       *bufio.Writer
	line      int
	start     func(policy.Settings) policy.Policy
	instances map[string]*instance
	pages     [16][]policy.Endpoint
	known     [16]bool
	now       policy.Micros
	id        string // the instance that events are about
	actor     string // the instance that actions are written for
}

// instance is one director with what it has in hand. Downloads leave the table once they are over and
// their pulls have ended; retire empties it.
type instance struct {
	module    policy.Policy
	types     []*policy.ContentType
	downloads map[uint64]*held
}

type held struct {
	policy.Request
	xid   uint64
	pulls int // sent
	out   int // not ended yet
	wake  policy.Micros
}

// message is one line, cut into its parts.
type message struct {
	name   string
	fields map[string]string
}

// next reads one line; blank lines are passed over.
func (h *host) next() (message, error) {
	for {
		text, err := h.in.ReadString('\n')
		if err != nil && (err != io.EOF || text == "") {
			return message{}, err
		}
		h.line++
		if text = strings.TrimRight(text, "\r\n"); text == "" {
			continue
		}
		name, rest, _ := strings.Cut(text, " ")
		msg := message{name, make(map[string]string, 12)}
		for rest != "" {
			key, value, ok := strings.Cut(rest, "=")
			if !ok {
				break
			}
			if key == "params" {
				msg.fields[key] = value
				break
			}
			value, rest, _ = strings.Cut(value, " ")
			msg.fields[key] = value
		}
		return msg, nil
	}
}

func (h *host) handle(msg message) error {
	inst := h.instances[h.id]
	switch msg.name {
	case "sync":
		if msg.fields["t"] == "" {
			return fmt.Errorf("sync has no t")
		}
		h.actor = ""
		return msg.micros("t", &h.now)
	case "go":
		h.out.WriteString("next\n")
		return h.out.Flush()
	case "about":
		h.id = msg.fields["director-id"]
		return nil
	case "inventory":
		return h.inventory(msg)
	case "spawn":
		return h.spawn(msg)
	case "retire":
		delete(h.instances, h.id)
		return nil
	}
	if inst == nil {
		return nil
	}
	switch msg.name {
	case "directory_update":
		return h.listed(inst, msg)
	case "voided":
		group, age := -1, policy.Micros(0)
		if err := firstError(msg.integer("group", &group), msg.micros("oldness", &age)); err != nil {
			return err
		}
		inst.module.Purge(h.now, msg.fields["object"], group, h.now-age)
	case "ingress":
		return h.ingress(inst, msg)
	case "report_back":
		return h.reportBack(inst, msg)
	case "alarm":
		return h.alarm(inst, msg)
	case "gone":
		xid, err := msg.xid("xid")
		if dl := inst.downloads[xid]; err == nil && dl != nil {
			dl.Done = true
			inst.drop(dl)
		}
		return err
	}
	return nil
}

func (h *host) inventory(msg message) error {
	page, rows := -1, -1
	if err := firstError(msg.integer("page", &page), msg.integer("rows-in", &rows)); err != nil {
		return err
	}
	if page < 0 || page >= len(h.pages) {
		return fmt.Errorf("inventory: page %d is out of range", page)
	}
	if rows < 0 {
		return fmt.Errorf("inventory: rows-in missing or negative")
	}
	nodes := make([]policy.Endpoint, 0, min(rows, 1<<12))
	for range rows {
		row, err := h.next()
		if err == io.EOF || err == nil && row.name != "row" {
			return fmt.Errorf("inventory: %d rows announced, %d found", rows, len(nodes))
		}
		if err != nil {
			return err
		}
		n := policy.Endpoint{ID: row.fields["node"], Weight: 1}
		err = firstError(row.integer("az", &n.Zone), row.integer("generation-hw", &n.Kind),
			row.integer("pod", &n.Cell), row.number("heft", &n.Weight), row.micros("launched", &n.Started))
		if err != nil {
			return err
		}
		switch state := row.fields["health"]; state {
		case "IN":
			n.State = policy.Ready
		case "LAME":
			n.State = policy.Draining
		case "OUT":
			n.State = policy.Removed
		default:
			return fmt.Errorf("row: health %q is not known", state)
		}
		nodes = append(nodes, n)
	}
	h.pages[page], h.known[page] = nodes, true
	return nil
}

func (h *host) listed(inst *instance, msg message) error {
	kind := msg.fields["kind"]
	if kind == "lost" {
		return nil
	}
	page := -1
	if err := msg.integer("page", &page); err != nil {
		return err
	}
	if page < 0 || page >= len(h.pages) || !h.known[page] {
		return fmt.Errorf("directory_update: page %d was never sent", page)
	}
	switch kind {
	case "incr", "total", "warm_copy":
		inst.module.UpdateEndpoints(h.now, h.pages[page], kind != "incr")
	}
	return nil
}

func (h *host) spawn(msg message) error {
	seed, err := msg.seed("salt")
	if err != nil {
		return err
	}
	site, err := config.ParseSite([]byte(msg.fields["params"]))
	if err != nil {
		return fmt.Errorf("spawn: params: %w", err)
	}
	site.Seed = seed
	h.instances[h.id] = &instance{
		module: h.start(site.Settings), types: site.Settings.ContentTypes, downloads: map[uint64]*held{},
	}
	return nil
}

func (h *host) ingress(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	lane := 0
	var patience policy.Micros
	dl := &held{xid: xid}
	dl.Group = -1
	err = firstError(err, msg.integer("lane", &lane), msg.micros("patience-left", &patience),
		msg.number("size-kb", &dl.SizeKB), msg.integer("batch-id", &dl.Group), msg.integer("piece", &dl.Part))
	if err != nil {
		return err
	}
	if lane < 0 || lane >= len(inst.types) {
		return fmt.Errorf("ingress: lane %d is not in the settings", lane)
	}
	dl.Type, dl.Object = inst.types[lane], msg.fields["object"]
	dl.IsRetry = msg.fields["resent"] == "1"
	dl.ArrivedAt, dl.Deadline = h.now, h.now+patience
	inst.downloads[xid] = dl
	h.act(inst, dl, inst.module.Route(h.now, &dl.Request))
	return nil
}

var endings = map[string]policy.Result{
	"success": policy.Succeeded, "failure": policy.Failed, "overloaded": policy.Rejected,
	"timed_out": policy.TimedOut, "unreachable": policy.ConnectFailed, "broken": policy.ConnectionLost,
	"withdrawn": policy.Cancelled, "void": policy.NotSent, "absent": policy.CacheMiss,
}

func (h *host) reportBack(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	var out policy.Outcome
	remark := 0
	err = firstError(err, msg.integer("go", &out.Attempt), msg.integer("remark", &remark))
	if err != nil {
		return err
	}
	ending, ok := endings[msg.fields["state-code"]]
	if !ok {
		return fmt.Errorf("report_back: state-code %q is not known", msg.fields["state-code"])
	}
	dl := inst.downloads[xid]
	if dl == nil || out.Attempt < 0 || out.Attempt >= dl.pulls {
		return nil
	}
	if remark >= int(policy.Unknown) && remark <= int(policy.OriginFailed) {
		out.CacheStatus = policy.CacheStatus(remark)
	}
	out.Result, out.Final = ending, msg.fields["last"] == "1"
	dl.out--
	dl.Done = dl.Done || out.Final
	h.act(inst, dl, inst.module.AttemptDone(h.now, &dl.Request, out))
	return nil
}

func (h *host) alarm(inst *instance, msg message) error {
	xid, err := msg.xid("key-back")
	if err != nil {
		return err
	}
	if dl := inst.downloads[xid]; dl != nil && !dl.Done && dl.wake != 0 && dl.wake <= h.now {
		dl.wake = 0
		h.act(inst, dl, inst.module.Route(h.now, &dl.Request))
	}
	return nil
}

// act writes an answer to the wire.
func (h *host) act(inst *instance, dl *held, a policy.Decision) {
	switch a.Action {
	case policy.Send:
		h.send("read_through xid=%d node=%s within=%s keep=%d from-where=%s opts=%d", dl.xid, a.Endpoint.ID,
			millis(a.Timeout), a.CacheRank, a.Source.ID, bit(a.Coalesce, 1)|bit(a.OnlyIfCached, 2)|bit(a.Revalidate, 8))
		if a.MaxAge > 0 {
			h.out.WriteString(" oldness=" + millis(a.MaxAge))
		}
		h.out.WriteByte('\n')
		dl.pulls++
		dl.out++
	case policy.CancelAttempt:
		h.send("abandon xid=%d go=%d\n", dl.xid, a.Attempt)
	case policy.Reject:
		h.send("shed xid=%d", dl.xid)
		if a.RetryAfter > 0 {
			h.out.WriteString(" wait=" + millis(a.RetryAfter))
		}
		h.out.WriteByte('\n')
		dl.Done = true
	case policy.Fail:
		h.send("fail xid=%d\n", dl.xid)
		dl.Done = true
	}
	if !dl.Done {
		if wait := inst.module.RecheckAfter(h.now, &dl.Request); wait > 0 && (dl.wake == 0 || dl.wake > h.now+wait) {
			dl.wake = h.now + wait
			h.send("wake_at in=%s key-back=%d\n", millis(wait), dl.xid)
		}
	}
	inst.drop(dl)
}

// drop forgets a download that is over and has no pull out.
func (inst *instance) drop(dl *held) {
	if dl.Done && dl.out == 0 {
		delete(inst.downloads, dl.xid)
	}
}

func (h *host) send(format string, args ...any) {
	if h.actor != h.id {
		h.actor = h.id
		fmt.Fprintf(h.out, "at director-id=%s\n", h.id)
	}
	fmt.Fprintf(h.out, format, args...)
}

func bit(on bool, value int) int {
	if on {
		return value
	}
	return 0
}

func millis(t policy.Micros) string {
	return strconv.FormatFloat(float64(t)/1000, 'f', -1, 64)
}

func (m message) number(key string, to *float64) error {
	text, ok := m.fields[key]
	if !ok {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: %s=%q is not a number", m.name, key, text)
	}
	*to = v
	return nil
}

func (m message) integer(key string, to *int) error {
	v := float64(*to)
	err := m.number(key, &v)
	if err == nil && (v != math.Trunc(v) || math.Abs(v) > 1<<53) {
		return fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	*to = int(v)
	return err
}

func (m message) micros(key string, to *policy.Micros) error {
	v := float64(*to) / 1000
	err := m.number(key, &v)
	if err == nil && math.Abs(v) > 1<<52 {
		return fmt.Errorf("%s: %s=%q is out of range", m.name, key, m.fields[key])
	}
	*to = policy.Micros(math.Round(v * 1000))
	return err
}

func (m message) seed(key string) (uint64, error) {
	v, err := strconv.ParseUint(strings.TrimPrefix(m.fields[key], "-"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	return v, nil
}

func (m message) xid(key string) (uint64, error) {
	v, err := strconv.ParseUint(m.fields[key], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not an id", m.name, key, m.fields[key])
	}
	return v, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
