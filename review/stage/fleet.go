package stage

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Fleet is a fleet of directors with an agent each, and the operators' tool.
type Fleet struct {
	dir     string
	record  *Record
	channel *Channel
	agents  []*exec.Cmd
	pids    map[string]int // of directors, as last told
}

// Show is what `tallyctl show --json` tells.
type Show struct {
	Directors []struct {
		Name     string `json:"name"`
		Up       bool   `json:"up"`
		Settings string `json:"settings"`
		Report   struct {
			PID     int      `json:"pid"`
			Avoided []string `json:"avoided"`
		} `json:"report"`
	} `json:"directors"`
	Changes []struct {
		ID        string            `json:"id"`
		Outcome   string            `json:"outcome"`
		Directors map[string]string `json:"directors"`
	} `json:"changes"`
}

// Avoiders returns the directors that keep a cache box out, by their own reports.
func (s Show) Avoiders(box string) (names []string) {
	for _, d := range s.Directors {
		if slices.Contains(d.Report.Avoided, box) {
			names = append(names, d.Name)
		}
	}
	return names
}

// Tool returns a call of tallyctl as the operator.
func (f *Fleet) Tool(words ...string) *exec.Cmd {
	return exec.Command("bin/tallyctl", append([]string{"-i", filepath.Join(f.dir, "fleet.star"), "--cert", filepath.Join(f.dir, "op.pem")}, words...)...)
}

// Run calls tallyctl, records what it prints and returns that and its exit code.
func (f *Fleet) Run(words ...string) (string, int) {
	cmd := f.Tool(words...)
	out, _ := cmd.CombinedOutput()
	f.Note(words, string(out), cmd.ProcessState.ExitCode())
	return string(out), cmd.ProcessState.ExitCode()
}

// Note records what a call of tallyctl printed.
func (f *Fleet) Note(words []string, out string, code int) {
	f.record.Say("tallyctl %s: exit code %d", strings.Join(words, " "), code)
	for line := range strings.SplitSeq(strings.TrimRight(out, "\n"), "\n") {
		f.record.Say("    %s", line)
	}
}

// Show asks the agents for the state of all. It writes the processes of directors to the file pids
// in the folder, since these are to outlive their agents.
func (f *Fleet) Show() (s Show, err error) {
	out, err := f.Tool("show", "--json").Output()
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(out, &s); err != nil {
		return s, err
	}
	text := ""
	for _, d := range s.Directors {
		if d.Report.PID > 1 {
			f.pids[d.Name] = d.Report.PID
		}
	}
	for _, pid := range f.pids {
		text += fmt.Sprintln(pid)
	}
	return s, os.WriteFile(filepath.Join(f.dir, "pids"), []byte(text), 0o600)
}

// StartFleet makes keys, an inventory and scripts in dir, and starts the agents, which start their
// directors. All files that a call leaves are in dir. End is to be called also after an error.
func StartFleet(record *Record, dir string, directors int) (*Fleet, error) {
	f := &Fleet{dir: dir, record: record, pids: map[string]int{}}
	if err := f.prepare(directors); err != nil {
		return f, err
	}
	for i := range directors {
		agent := fmt.Sprintf("agent-%d", i)
		log, err := os.Create(filepath.Join(f.dir, agent+".log"))
		if err != nil {
			return f, err
		}
		cmd := exec.Command("bin/tallyctl", "-i", filepath.Join(f.dir, "fleet.star"), "--cert", filepath.Join(f.dir, agent+".pem"), "agent", agent)
		cmd.Stdout, cmd.Stderr = log, log
		if err := cmd.Start(); err != nil {
			return f, err
		}
		f.agents = append(f.agents, cmd)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s, err := f.Show()
		up := 0
		for _, d := range s.Directors {
			if d.Up {
				up++
			}
		}
		if err == nil && up == directors {
			return f, nil
		}
	}
	return f, errors.New("the fleet did not start")
}

// prepare starts the stand-ins and writes the files of agents and directors.
func (f *Fleet) prepare(directors int) (err error) {
	if f.channel, err = NewChannel(f.record, "127.0.0.1"); err != nil {
		return err
	}
	serve := func(w Want) {
		w.AnswerBody("data", fmt.Sprintf("n=local,ver=%s,born=%d", Hex(16), UnixMillis(time.Now())), []byte(w.Fields["asset"]))
	}
	var nodes []*Node
	for _, n := range []struct{ name, zone, kind string }{
		{"box-0", "depot-1", "compact"}, {"box-1", "depot-1", "compact"}, {"box-2", "depot-1", "standard"}, {"box-3", "depot-1", "compact"},
		{"parent-0", "north", "parent"}, {"parent-1", "south", "parent"}, {"archive", "north", "origin"},
	} {
		node, err := NewNode(n.name, "127.0.0.1", n.zone, n.kind, serve)
		if err != nil {
			return err
		}
		nodes = append(nodes, node)
	}
	f.channel.PublishNodes("up", nodes...)
	run, err := RunCommand()
	if err != nil {
		return err
	}
	program, err := filepath.Abs(strings.TrimPrefix(run, "exec "))
	if err != nil {
		return err
	}
	keys := filepath.Join(f.dir, "keys")
	commands := [][]string{{"keys", "--dir", keys, "init"}, {"keys", "--dir", keys, "issue", "op", "--role", "see,change", "--into", f.dir}}
	inventory := "fleet(lease = seconds(3), authority = \"keys\")\n"
	for i := range directors {
		agent, name := fmt.Sprintf("agent-%d", i), fmt.Sprintf("n%d", i)
		commands = append(commands, []string{"keys", "--dir", keys, "issue", agent, "--role", "agent", "--into", f.dir})
		address, err := FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		listen, err := FreeAddress("127.0.0.1")
		if err != nil {
			return err
		}
		inventory += fmt.Sprintf("agent(%q, address = %q, depot = \"depot-1\")\n", agent, address)
		inventory += fmt.Sprintf("director(%q, agent = %q, config = \"%s.json\", settings = \"%s.star\", socket = \"%s.sock\", command = [%q])\n",
			name, agent, name, name, name, program)
		limits := Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
		config := Config(name, listen, f.channel.Address, f.channel.Known(), Settings(directors), limits)
		script := fmt.Sprintf("state(socket = %q)\n", filepath.Join(f.dir, name+".sock"))
		if err := errors.Join(os.WriteFile(filepath.Join(f.dir, name+".json"), config, 0o600),
			os.WriteFile(filepath.Join(f.dir, name+".star"), []byte(script), 0o600)); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(f.dir, "fleet.star"), []byte(inventory), 0o600); err != nil {
		return err
	}
	for _, words := range commands {
		if out, err := exec.Command("bin/tallyctl", words...).CombinedOutput(); err != nil {
			return fmt.Errorf("tallyctl %v: %w: %s", words, err, out)
		}
	}
	return nil
}

// End ends the agents, and then their directors.
func (f *Fleet) End() {
	_, _ = f.Show() // for the processes; those that were told before are known
	for _, cmd := range f.agents {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, pid := range f.pids {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	if f.channel != nil {
		f.channel.Close()
	}
}
