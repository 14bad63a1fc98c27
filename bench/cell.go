package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cyclamendyke"
	"cyclamendyke/core/cas"
	"cyclamendyke/core/keys"
	"cyclamendyke/core/tables"
	"cyclamendyke/io/store"
	"cyclamendyke/standin/kv"
)

const (
	// daemonSubcommand is the first argument that makes this command run a daemon.
	daemonSubcommand = "daemon"

	cellOperatorKey  = "bench-operator"
	cellReadyTimeout = 60 * time.Second
	cellPollInterval = 200 * time.Millisecond
)

// cell is one zone whose daemons and stand-in platform each run in a process of their own.
type cell struct {
	platform *platformProcess
	store    *store.Store
	dir      string
	daemons  []*daemonProcess
	key      string // API key of the first team.
}

// daemonProcess is a running daemon and its addresses.
type daemonProcess struct {
	member  cyclamendyke.Member
	command *exec.Cmd
}

// newCell starts a zone with its daemons and waits until every worker is claimed.
func newCell(workers int) (*cell, error) {
	c := &cell{}
	err := c.start(workers)
	if err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cell) start(workers int) error {
	var err error
	if c.platform, err = startPlatform("--zones", "a1", "--pool", fmt.Sprintf("search:64:128:0:%d:4", workers)); err != nil {
		return err
	}
	c.store = store.New(store.Config{Addresses: []string{c.platform.address}, Caller: "bench"})
	if err := c.configure(); err != nil {
		return err
	}
	if c.dir, err = os.MkdirTemp("", "cyclamendyke-bench"); err != nil {
		return err
	}
	for i := range cellDaemons {
		if err := c.startDaemon(i); err != nil {
			return err
		}
	}
	return c.waitUntil(func() bool { return c.claimedBy(c.daemons[0]) == workers })
}

// configure writes the tables to the store and grants the first team an API key.
func (c *cell) configure() error {
	ctx, cancel := context.WithTimeout(context.Background(), cellReadyTimeout)
	defer cancel()
	value, err := tables.Encode(cellTables())
	if err != nil {
		return err
	}
	writer := cas.New(cas.Config{Store: c.store})
	if _, err := writer.Swap(ctx, cyclamendyke.TablesKey, value, 0); err != nil {
		return err
	}
	granted, err := keys.New(keys.Config{Writer: writer}).Grant(ctx, teamName(0))
	c.key = granted.Key
	return err
}

// cellTables returns tables with the large fleet's number of teams, whose limits exceed the zone.
func cellTables() cyclamendyke.TablesText {
	text := tablesText(largeTeams)
	text.Routes = strings.NewReplacer("limit-cores = 1024", "limit-cores = 100000", "limit-memory = 2TiB", "limit-memory = 200TiB").Replace(text.Routes)
	text.Pools = "[pool \"search\"]\ncores = 64\nmemory = 128GiB\nslots = 8\nconnections = 64\nzones = a1\nkinds = service, batch, gang\n"
	return text
}

func (c *cell) startDaemon(i int) error {
	ports, err := freePorts(2)
	if err != nil {
		return err
	}
	member := cyclamendyke.Member{
		Name: cyclamendyke.MemberName(fmt.Sprintf("entry-%d", i)),
		Peer: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		HTTP: fmt.Sprintf("127.0.0.1:%d", ports[1]),
	}
	hash := sha256.Sum256([]byte(cellOperatorKey))
	settings := fmt.Sprintf("[member]\nname = %s\nzone = a1\nregion = a\n[listen]\npeer = %s\nhttp = %s\n[platform]\nstore = %s\nvm-list = %s\n[operator]\nkey-hash = %s\n[log]\nlevel = error\n",
		member.Name, member.Peer, member.HTTP, c.platform.address, c.platform.address, hex.EncodeToString(hash[:]))
	path := filepath.Join(c.dir, string(member.Name)+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	command := exec.Command(self, daemonSubcommand, "--settings", path)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		return err
	}
	c.daemons = append(c.daemons, &daemonProcess{member: member, command: command})
	return nil
}

// freePorts returns n ports that were free when it was called.
func freePorts(n int) ([]int, error) {
	ports := make([]int, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// waitUntil polls until ready returns true; it fails after cellReadyTimeout.
func (c *cell) waitUntil(ready func() bool) error {
	deadline := time.Now().Add(cellReadyTimeout)
	for !ready() {
		if time.Now().After(deadline) {
			return errors.New("cell did not reach the expected state before the timeout")
		}
		time.Sleep(cellPollInterval)
	}
	return nil
}

// workers asks a daemon for the zone's workers; it returns none if the daemon cannot answer.
func (c *cell) workers(through *daemonProcess) []cyclamendyke.WorkerState {
	var answer struct {
		Workers []cyclamendyke.WorkerState `json:"workers"`
	}
	if err := c.get(through.member.HTTP, "/v1/workers?zone=a1", &answer); err != nil {
		return nil // The daemon is not ready yet.
	}
	return answer.Workers
}

// claimedBy asks a daemon how many workers the zone's scheduler has claimed.
func (c *cell) claimedBy(through *daemonProcess) int {
	claimed := 0
	for _, worker := range c.workers(through) {
		if worker.Claimed {
			claimed++
		}
	}
	return claimed
}

// schedulerFromStore returns the daemon that the store records as the zone's scheduler, and a standby.
func (c *cell) schedulerFromStore() (scheduler, standby *daemonProcess, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), cellReadyTimeout)
	defer cancel()
	entry, err := c.store.Get(ctx, cyclamendyke.SchedulerPrefix+"a1")
	if err != nil {
		return nil, nil, err
	}
	var record cyclamendyke.ZoneScheduler
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return nil, nil, err
	}
	return c.findWithOther(record.Member.Name)
}

// findWithOther returns the named daemon and another one.
func (c *cell) findWithOther(name cyclamendyke.MemberName) (named, other *daemonProcess, err error) {
	for _, daemon := range c.daemons {
		if daemon.member.Name == name {
			named = daemon
		} else {
			other = daemon
		}
	}
	if named == nil || other == nil {
		return nil, nil, errors.New("the scheduler or a standby is not among the started daemons")
	}
	return named, other, nil
}

// schedulerFromMembers returns the daemon that the first daemon reports as the scheduler, and a
// standby; unlike schedulerFromStore it does not call the store.
func (c *cell) schedulerFromMembers() (scheduler, standby *daemonProcess, err error) {
	var answer struct {
		Members []cyclamendyke.MemberState `json:"members"`
	}
	if err := c.get(c.daemons[0].member.HTTP, "/v1/members", &answer); err != nil {
		return nil, nil, err
	}
	for _, state := range answer.Members {
		if state.Scheduling {
			return c.findWithOther(state.Member.Name)
		}
	}
	return nil, nil, errors.New("no daemon is the scheduler")
}

// storeCounts returns the number of store calls that a daemon has made.
func (c *cell) storeCounts(daemon *daemonProcess) (kv.Counts, error) {
	var answer struct {
		Store kv.Counts `json:"store"`
	}
	err := c.get(c.platform.address, "/counts?caller="+string(daemon.member.Name), &answer)
	return answer.Store, err
}

func (c *cell) get(address, path string, answer any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+cellOperatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// stop ends every process of the cell.
func (c *cell) stop() {
	for _, daemon := range c.daemons {
		_ = daemon.command.Process.Signal(syscall.SIGKILL)
		_ = daemon.command.Wait()
	}
	if c.store != nil {
		c.store.Close()
	}
	if c.platform != nil {
		c.platform.stop()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}
