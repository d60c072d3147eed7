package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// edgeProgram is what the deploy file starts for each machine.
	edgeProgram = "target/edge"
	// readyWait bounds the wait for a machine to be ready, and pollPause is the time between two looks.
	readyWait = 15 * time.Second
	pollPause = 20 * time.Millisecond
)

// rig holds all that a script has started.
type rig struct {
	rec       *record
	trouble   bool
	startedAt time.Time
	dir       string
	store     *storeStand
	edges     []*edge
	// seeds are the addresses at which machines find each other.
	seeds []string

	mu       sync.Mutex
	replicas []*replica
	ports    []net.Listener
	// ran counts the runs of each attempt.
	ran map[string]int
	// lastRun is where and when each attempt began to run last.
	lastRun map[string]run
}

// machine says where an edge machine stands.
type machine struct {
	name, zone string
}

// zones are the zones and their regions.
var zones = map[string]string{"permian-a": "permian", "gulf-a": "gulf", "panhandle-a": "panhandle"}

// edge is one edge machine.
type edge struct {
	rg                                 *rig
	at                                 machine
	ip                                 string
	frontend, ready, control, operator string
	// callers is where clients connect: the frontend, or a proxy before it.
	callers string
	proxy   *proxy
	// door is where the machine reaches the store.
	door         *door
	settingsPath string
	cmd          *exec.Cmd
	done         chan error
}

// start starts the store and the machines, writes the configuration, and waits until all machines are ready.
func (rg *rig) start(config string, machines ...machine) error {
	if _, err := os.Stat(edgeProgram); err != nil {
		return fmt.Errorf("build the gateway with the command of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return err
	}
	rg.dir = dir
	if rg.store, err = startStore(rg.rec); err != nil {
		return err
	}
	for index, one := range machines {
		edg := &edge{rg: rg, at: one, ip: fmt.Sprintf("127.0.1.%d", index+1), door: rg.store.newDoor(one.name)}
		for _, address := range []*string{&edg.frontend, &edg.ready, &edg.control, &edg.operator} {
			if *address, err = rg.freeAddress(edg.ip); err != nil {
				return err
			}
		}
		rg.edges = append(rg.edges, edg)
		if len(rg.seeds) < 3 {
			rg.seeds = append(rg.seeds, edg.control)
		}
	}
	rg.freePorts()
	for _, edg := range rg.edges {
		if edg.proxy, err = startProxy(edg.ip, edg.frontend); err != nil {
			return err
		}
		edg.callers = edg.proxy.address()
		if err := edg.start(true); err != nil {
			return err
		}
	}
	if config != "" {
		rg.store.put("op/config", config)
	}
	for _, edg := range rg.edges {
		if err := edg.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address with a free port, which stays reserved until freePorts.
func (rg *rig) freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	rg.ports = append(rg.ports, listener)
	return listener.Addr().String(), nil
}

func (rg *rig) freePorts() {
	for _, listener := range rg.ports {
		_ = listener.Close()
	}
	rg.ports = nil
}

// start starts the machine's process.
func (edg *edge) start(first bool) error {
	edg.settingsPath = filepath.Join(edg.rg.dir, edg.at.name+".toml")
	if err := os.WriteFile(edg.settingsPath, []byte(edg.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(edg.rg.dir, edg.at.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(edgeProgram)
	cmd.Env = []string{"YUCCACLEAT_CONFIG=" + edg.settingsPath, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	edg.cmd, edg.done = cmd, make(chan error, 1)
	done := edg.done
	go func() { done <- cmd.Wait() }()
	edg.rg.rec.line("machine %s starts in %s, clients at %s", edg.at.name, edg.at.zone, edg.frontend)
	return nil
}

// settings returns the machine's settings file.
func (edg *edge) settings(first bool) string {
	_, operatorPort, _ := net.SplitHostPort(edg.operator)
	var seeds []string
	for _, seed := range edg.rg.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", seed))
	}
	return fmt.Sprintf(`node_name = %q
role = "edge"
machine_class = "edge"
served_roles = ["edge","control"]
ip_address = %q
zone = %q
region = %q
internal_port_range = [%s,%s]
seed_nodes = [%s]
bootstrap = %t
failure_counted = false
discovery_source = "platform"
entry_kind = "virtual_ip"
heartbeat_interval_ms = %d
active_contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
permian-a = "permian"
gulf-a = "gulf"
panhandle-a = "panhandle"
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
`, edg.at.name, edg.ip, edg.at.zone, zones[edg.at.zone], operatorPort, operatorPort, strings.Join(seeds, ","), first,
		beatEvery.Milliseconds(), edg.frontend, edg.ready, edg.control, edg.rg.store.address)
}

// isReady asks the machine whether it is ready, as the platform does.
func (edg *edge) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + edg.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (edg *edge) awaitReady() error {
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline); time.Sleep(pollPause) {
		if edg.isReady() {
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready", edg.at.name)
}

// freeze stops the machine's process for a while.
func (edg *edge) freeze(duration time.Duration) {
	edg.rg.rec.line("machine %s freezes", edg.at.name)
	_ = edg.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = edg.cmd.Process.Signal(syscall.SIGCONT)
	edg.rg.rec.line("machine %s wakes", edg.at.name)
}

// replica is one server's process.
type replica struct {
	spec replicaSpec
	cmd  *exec.Cmd
	done chan error
}

// startReplica starts a server, which registers with the store.
func (rg *rig) startReplica(spec replicaSpec) (*replica, error) {
	spec.Store = rg.store.address
	if spec.Address == "" {
		address, err := rg.freeAddress("127.0.2.1")
		if err != nil {
			return nil, err
		}
		rg.freePorts()
		spec.Address = address
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(os.Args[0], "replica", string(text))
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	rg.rec.line("server %s of %s, version %s, starts at %s in %s", spec.ID, spec.Service, spec.Version, spec.Address, spec.Zone)
	rep := &replica{spec: spec, cmd: cmd, done: make(chan error, 1)}
	go rg.copyLines(spec.ID, out)
	go func() { rep.done <- cmd.Wait() }()
	rg.mu.Lock()
	rg.replicas = append(rg.replicas, rep)
	rg.mu.Unlock()
	return rep, rg.awaitListening(spec.Address)
}

// run is the beginning of a run.
type run struct {
	server string
	at     time.Time
}

// runs returns how often an attempt has begun to run.
func (rg *rig) runs(attempt string) int {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.ran[attempt]
}

// copyLines writes what a server says to the record.
func (rg *rig) copyLines(id string, out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		rg.rec.line("server %s: %s", id, lines.Text())
		if words := strings.Fields(lines.Text()); len(words) > 1 && words[0] == "runs" {
			rg.mu.Lock()
			rg.ran[words[1]]++
			rg.lastRun[words[1]] = run{server: id, at: time.Now()}
			rg.mu.Unlock()
		}
	}
}

func (rg *rig) awaitListening(address string) error {
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline); time.Sleep(pollPause) {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return nil
		}
	}
	return errors.New("a server doesn't listen at " + address)
}

// crash ends a server at once. Its registration expires later.
func (rg *rig) crash(rep *replica) {
	rg.rec.line("server %s crashes", rep.spec.ID)
	_ = rep.cmd.Process.Kill()
}

// leave has a server leave without notice: its entry is removed, and it serves on. It returns when the store had accepted
// the removal.
func (rg *rig) leave(rep *replica) time.Time {
	_ = rep.cmd.Process.Signal(syscall.SIGUSR1)
	time.Sleep(pollPause)
	return rg.store.remove("servers/" + rep.spec.ID)
}

// stop ends all processes and removes what the script wrote.
func (rg *rig) stop() {
	for _, edg := range rg.edges {
		if edg.cmd != nil {
			_ = edg.cmd.Process.Kill()
		}
	}
	rg.mu.Lock()
	defer rg.mu.Unlock()
	for _, rep := range rg.replicas {
		_ = rep.cmd.Process.Kill()
	}
	if rg.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(rg.dir)
	}
}
