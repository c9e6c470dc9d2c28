package stage

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Director is a director that runs as a process, by the run command of the deploy file.
type Director struct {
	Name    string
	Address string

	record *Record
	config string // path of the platform's file
	log    *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

// Host returns a loopback address of the case's own. A port there stays free while its process is
// down, since connections come from other addresses.
func Host() string {
	return fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), 1+rand.IntN(254), 1+rand.IntN(254))
}

// FreeAddress returns a loopback address that nobody uses.
func FreeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	return address, listener.Close()
}

// FreePair returns a loopback address that nobody uses with TCP or UDP.
func FreePair(host string) (string, error) {
	for range 50 {
		address, err := FreeAddress(host)
		if err != nil {
			return "", err
		}
		packets, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		return address, packets.Close()
	}
	return "", errors.New("no address is free for TCP and UDP")
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// RunCommand returns the run command of the deploy file. The working folder is the root.
func RunCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(match[1]), nil
}

// NewDirector prepares a director with files in dir. It is not started.
func NewDirector(record *Record, dir, name, address string) (*Director, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	return &Director{Name: name, Address: address, record: record, config: filepath.Join(dir, name+".json"), log: log}, nil
}

// Start writes the platform's file and starts the process. options are added to the run command.
// It returns once the director answers STATUS with serving.
func (d *Director) Start(config []byte, options string) error {
	if err := os.WriteFile(d.config, config, 0o600); err != nil {
		return err
	}
	run, err := RunCommand()
	if err != nil {
		return err
	}
	d.cmd = exec.Command("/bin/sh", "-c", strings.TrimSpace(run+" "+options))
	d.cmd.Env = append(os.Environ(), "NODE_NAME="+d.Name, "NODE_LISTEN="+d.Address, "NODE_CONFIG="+d.config)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(d.cmd, d.exited)
	d.record.Add("director %s started as process %d on %s", d.Name, d.cmd.Process.Pid, d.Address)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if Serving(d.Address) {
			d.record.Add("director %s serves", d.Name)
			return nil
		}
	}
	text, _ := os.ReadFile(d.log.Name())
	return fmt.Errorf("director %s does not serve: %s", d.Name, text)
}

// Pid returns the process ID.
func (d *Director) Pid() int { return d.cmd.Process.Pid }

// Signal sends a signal to the process.
func (d *Director) Signal(s syscall.Signal) {
	d.record.Add("director %s gets signal %v", d.Name, s)
	_ = d.cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (d *Director) Running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (d *Director) Kill() {
	if d.cmd == nil || d.cmd.Process == nil {
		return
	}
	if d.Running() {
		d.Signal(syscall.SIGKILL)
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
	}
	<-d.exited
}
