package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"yuccacleat/platform/yuccastore"
)

// zones are the zones of the small deployment, each in a region of its own.
var zones = []string{"lombardia-a", "piemonte-a", "veneto-a"}

// edgeProgram is the program that the deploy file starts.
const edgeProgram = "target/edge"

// errNotReady says that a case couldn't run, because its daemons didn't come up.
var errNotReady = errors.New("the daemons didn't become ready")

// fleet is a small deployment: a stand-in for the store, daemons in processes of their own, and stand-ins for
// replicas.
type fleet struct {
	record *record
	// dir is the temporary folder with the settings files and the daemons' logs.
	dir      string
	store    *yuccastore.Store
	storeAt  string
	server   *http.Server
	daemons  []*daemon
	replicas []*replica
	// onRun is called with the id of each request that a replica begins to run, unless it is nil.
	onRun func(id string)
}

// startFleet starts the store, with a configuration, and a number of daemons.
func startFleet(rec *record, config string, daemons int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	flt := &fleet{record: rec, dir: dir, store: yuccastore.New(500)}
	flt.storeAt = freeAddress()
	if err := flt.startStore(); err != nil {
		return nil, err
	}
	flt.store.Put("op/config", config)
	for index := range daemons {
		flt.daemons = append(flt.daemons, newDaemon(flt, index))
	}
	return flt, nil
}

// startStore has the store listen at its address.
func (flt *fleet) startStore() error {
	listener, err := net.Listen("tcp", flt.storeAt)
	if err != nil {
		return err
	}
	flt.server = &http.Server{Handler: flt.store}
	go func() { _ = flt.server.Serve(listener) }()
	return nil
}

// stopStore ends the store's process, as far as others can tell: its connections end, and new ones are refused. What it holds
// stays.
func (flt *fleet) stopStore() {
	_ = flt.server.Close()
	flt.record.add("the store is down")
}

// startDaemons starts all daemons and waits until they are ready.
func (flt *fleet) startDaemons(ctx context.Context, first bool) error {
	for _, dmn := range flt.daemons {
		if err := dmn.start(first); err != nil {
			return err
		}
	}
	for _, dmn := range flt.daemons {
		if err := dmn.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes of the fleet and removes its folder.
func (flt *fleet) close() {
	for _, rep := range flt.replicas {
		rep.exit()
	}
	for _, dmn := range flt.daemons {
		dmn.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(flt.dir)
	}
}

// started are the processes that this one has started and that haven't ended.
var started = struct {
	sync.Mutex
	list map[*exec.Cmd]bool
}{list: make(map[*exec.Cmd]bool)}

// killStarted kills the processes that this one has started.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for cmd := range started.list {
		_ = cmd.Process.Kill()
	}
}

// daemon is one daemon's process.
type daemon struct {
	fleet *fleet
	name  string
	zone  string
	// callers, ready, peers and metrics are the daemon's addresses.
	callers, ready, peers, metrics string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newDaemon(flt *fleet, index int) *daemon {
	zone := zones[index%len(zones)]
	return &daemon{
		fleet: flt, name: fmt.Sprintf("edge-%s-%d", zone, 1+index/len(zones)), zone: zone,
		callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
	}
}

// firstPort and lastPort bound the ports that daemons and stand-ins listen on. The system takes the ports of outgoing connections from
// beyond them.
const firstPort, lastPort = 12000, 30000

// taken are the addresses that freeAddress has returned.
var taken = make(map[string]bool)

// freeAddress returns a loopback address whose port nobody uses. It isn't safe for concurrent use.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil || taken[address] {
			continue
		}
		listener.Close()
		taken[address] = true
		return address
	}
}

// settings returns the daemon's settings file, with the bounds of the users' small deployments.
func (dmn *daemon) settings(first bool) string {
	var seeds []string
	for _, other := range dmn.fleet.daemons[:min(3, len(dmn.fleet.daemons))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	_, metricsPort, _ := net.SplitHostPort(dmn.metrics)
	return fmt.Sprintf(`node_name = %q
role = "edge"
machine_class = "edge"
served_roles = ["edge", "control"]
ip_address = "127.0.0.1"
zone = %q
region = %q
internal_port_range = [%s, %s]
seed_nodes = [%s]
bootstrap = %t
failure_counted = false
discovery_source = "platform"
entry_kind = "virtual_ip"
heartbeat_interval_ms = 1200
active_contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"]
[zones]
lombardia-a = "lombardia"
piemonte-a = "piemonte"
veneto-a = "veneto"
[listen_addresses]
frontend = %q
ready = %q
control_plane = %q
[limits]
cpu_fraction = 0.4
cpu_cores = 1
memory_mb = 284
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machine_failures = 1
zones = 0
region_failures = 0
[bounds]
seed_staleness_s = 3
reuse_delay_s = 2
contact_threshold_ms = 4000
acknowledgment_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 8
loss_slack_ms = 200
propagation_ms = 3000
downgrade_slack_ms = 250
max_extension_ms = 6000
strict_revocation = false
revocation_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_allowance = 54
quota_window_s = 8
quota_overshoot = 0.25
quota_allowance = 190000
recovery_time_s = 12
delivery_delay_ms = 400
cache_window_s = 10
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
ttl_min_ms = 1000
`, dmn.name, dmn.zone, strings.TrimSuffix(dmn.zone, "-a"), metricsPort, metricsPort, strings.Join(seeds, ","), first,
		dmn.callers, dmn.ready, dmn.peers, dmn.fleet.storeAt)
}

// start starts the daemon's process. First says that the whole system starts for the first time.
func (dmn *daemon) start(first bool) error {
	path := filepath.Join(dmn.fleet.dir, dmn.name+".toml")
	if err := os.WriteFile(path, []byte(dmn.settings(first)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(dmn.fleet.dir, dmn.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(edgeProgram)
	cmd.Env = []string{"YUCCACLEAT_CONFIG=" + path, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.list[cmd] = true
	started.Unlock()
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		started.Lock()
		delete(started.list, cmd)
		started.Unlock()
		close(done)
	}()
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	dmn.cmd, dmn.done = cmd, done
	dmn.fleet.record.add("%s started, process %d", dmn.name, cmd.Process.Pid)
	return nil
}

// signal sends the daemon's process a signal.
func (dmn *daemon) signal(sig syscall.Signal) {
	dmn.mu.Lock()
	defer dmn.mu.Unlock()
	if dmn.cmd != nil {
		_ = dmn.cmd.Process.Signal(sig)
	}
}

// kill kills the daemon's process and waits for its end.
func (dmn *daemon) kill() {
	dmn.signal(syscall.SIGKILL)
	dmn.mu.Lock()
	done := dmn.done
	dmn.mu.Unlock()
	if done != nil {
		<-done
	}
}

// awaitReady waits until the daemon says that it is ready.
func (dmn *daemon) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + dmn.ready + "/api/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errNotReady
}
