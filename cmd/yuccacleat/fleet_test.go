package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccaserve"
)

const (
	// patience is for events that must come; verdicts never depend on how soon.
	patience = 60 * time.Second
	pollEach = 50 * time.Millisecond
	// longDeadline is for answers that only have to be under way: engines that were
	// slowed by a busy machine have learned rates at which patience would not do.
	longDeadline = 20 * time.Minute
	secret       = "hotline secret"
)

// fleet is one data centre of daemons, targets and a platform, all processes.
type fleet struct {
	dir      string
	platform string
	daemons  []*daemon
	engines  []string
	plain    string
	caller   *yuccacaller.Client
	state    *yuccastate.State
	seeds    []string
	witness  witness
	// children and relays end with the fleet, not with the spec that started them.
	children []*process
	relays   []*relay
	gates    []*gate
}

// daemon is one daemon's process.
type daemon struct {
	*process
	name      yuccaid.VM
	centre    yuccaid.Centre
	addresses yuccaserve.Addresses
	relay     *relay
	gate      *gate
}

// newFleet starts everything and waits until each daemon is ready with all peers.
func newFleet(daemons int, engines ...[]string) *fleet {
	GinkgoHelper()
	fl := &fleet{dir: GinkgoT().TempDir(), caller: yuccacaller.New(secret), state: yuccastate.Empty()}
	DeferCleanup(fl.close)
	Expect(os.WriteFile(filepath.Join(fl.dir, "key"), []byte("a fleet key of enough length for tests\n"), 0o600)).To(Succeed())
	fl.platform = fl.stand("platform")
	for _, args := range engines {
		fl.engines = append(fl.engines, fl.stand(append([]string{"engine"}, args...)...))
	}
	fl.plain = fl.stand("plain")
	for i := range daemons {
		fl.start(yuccaid.VM(fmt.Sprintf("entry-%d", i+1)))
	}
	fl.list()
	fl.publish(fl.firstNote())
	fl.settle()
	return fl
}

func (fl *fleet) close() {
	fl.caller.Close()
	for _, proc := range fl.children {
		proc.kill()
	}
	for _, rel := range fl.relays {
		rel.close()
	}
	for _, way := range fl.gates {
		way.close()
	}
}

func (fl *fleet) stand(args ...string) string {
	GinkgoHelper()
	proc := spawn(yuccastandPath, append(args, "--listen", "127.0.0.1:0")...)
	fl.children = append(fl.children, proc)
	var told struct {
		Listening string `json:"listening"`
	}
	Expect(json.Unmarshal(proc.line, &told)).To(Succeed())
	return told.Listening
}

// start runs one more daemon; the list must be published for others to find it.
func (fl *fleet) start(name yuccaid.VM) *daemon {
	GinkgoHelper()
	return fl.startIn("odessa-1", name)
}

func (fl *fleet) startIn(centre yuccaid.Centre, name yuccaid.VM) *daemon {
	GinkgoHelper()
	rel, way := newRelay(name), newGate(fl.platform)
	fl.relays = append(fl.relays, rel)
	fl.gates = append(fl.gates, way)
	dm := fl.serve(centre, name, rel, way)
	fl.daemons = append(fl.daemons, dm)
	return dm
}

// replace kills a daemon and runs a new process at the same VM and address.
func (fl *fleet) replace(old *daemon) *daemon {
	GinkgoHelper()
	old.kill()
	dm := fl.serve(old.centre, old.name, old.relay, old.gate)
	fl.daemons[slices.Index(fl.daemons, old)] = dm
	return dm
}

func (fl *fleet) serve(centre yuccaid.Centre, name yuccaid.VM, rel *relay, way *gate) *daemon {
	GinkgoHelper()
	settings := fmt.Sprintf(`vm: %s
centre: %s
listen:
  caller: 127.0.0.1:0
  peer: 127.0.0.1:0
  operator: 127.0.0.1:0
advertise: %s
platform: http://%s
fleetKeyFile: %s
longestDrain: 60s
seeds: [%s]
`, name, centre, rel.address(), way.address(), filepath.Join(fl.dir, "key"), strings.Join(fl.seeds, ", "))
	path := filepath.Join(fl.dir, string(name)+".yaml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	dm := &daemon{process: spawn(yuccacleatPath, "serve", "--settings", path), name: name, centre: centre, relay: rel, gate: way}
	fl.children = append(fl.children, dm.process)
	Expect(json.Unmarshal(dm.line, &dm.addresses)).To(Succeed())
	rel.point(dm.addresses.Peer)
	return dm
}

// list publishes which VMs are live, and which targets' VMs leave, as the platform would.
func (fl *fleet) list(leaving ...yuccaid.VM) {
	GinkgoHelper()
	type vm struct {
		VM      yuccaid.VM     `json:"vm"`
		Centre  yuccaid.Centre `json:"centre"`
		Address string         `json:"address"`
		Kind    string         `json:"kind"`
		State   string         `json:"state"`
	}
	var list struct {
		VMs []vm `json:"vms"`
	}
	for _, dm := range fl.daemons {
		list.VMs = append(list.VMs, vm{VM: dm.name, Centre: dm.centre, Address: dm.relay.address(), Kind: "entry", State: "live"})
	}
	for _, name := range leaving {
		list.VMs = append(list.VMs, vm{VM: name, Centre: "odessa-1", Address: "127.0.0.1:1", Kind: "target", State: "leaving"})
	}
	raw, err := json.Marshal(list)
	Expect(err).NotTo(HaveOccurred())
	put(fl.platform, "/control/vms", raw)
}

func (fl *fleet) firstNote() yuccastate.Note {
	note := yuccastate.Note{Author: "test operator"}
	note.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{"odessa-1": {Region: "permian"}}
	note.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {Rank: 0}, "normal": {Rank: 1}, "bulk": {Rank: 2}}
	note.Added.Pools = map[yuccaid.Pool]yuccastate.Pool{
		"draft": {Kind: yuccastate.PoolModel, LongestRun: time.Minute, Operations: yuccastate.Operations{"generate": {Idempotent: true}}},
		"desk":  {Kind: yuccastate.PoolService, LongestRun: time.Minute, Operations: yuccastate.Operations{"lookup": {Idempotent: true}, "file-ticket": {}}},
	}
	note.Added.Accounts = map[yuccaid.Account]yuccastate.Account{
		"hotline": {
			Credential: yuccastate.CredentialDigest(secret), Weight: 1,
			Tiers: []yuccaid.Tier{"urgent", "normal", "bulk"}, Pools: []yuccaid.Pool{"draft", "desk"},
		},
		"stranger": {
			Credential: yuccastate.CredentialDigest("another secret"), Weight: 1,
			Tiers: []yuccaid.Tier{"bulk"}, Pools: []yuccaid.Pool{"draft"},
		},
	}
	note.Added.Targets = map[yuccaid.Target]yuccastate.Target{
		"desk-1": {Pool: "desk", Centre: "odessa-1", VM: "vm-desk-1", Address: fl.plain, Slots: 4},
	}
	for i, address := range fl.engines {
		note.Added.Targets[yuccaid.Target(fmt.Sprintf("engine-%d", i+1))] = yuccastate.Target{
			Pool: "draft", Centre: "odessa-1", VM: yuccaid.VM(fmt.Sprintf("vm-engine-%d", i+1)), Address: address,
			Slots: 8, Prefill: 4000, Decode: 50, Cache: 200_000, ChecksFence: true,
		}
	}
	return note
}

// publish completes a note against the newest configuration and puts it up.
func (fl *fleet) publish(note yuccastate.Note) {
	GinkgoHelper()
	note.Number = fl.state.Number + 1
	note.Base = fl.state.Digest()
	next, err := fl.state.Apply(note)
	Expect(err).NotTo(HaveOccurred())
	fl.state = next
	put(fl.platform, "/control/keys/"+yuccastate.NoteKey(note.Number), note.Canonical())
}

// cut parts daemons from each other until the next call; nil joins them again.
func (fl *fleet) cut(apart func(from, to yuccaid.VM) bool) {
	if apart == nil {
		apart = func(yuccaid.VM, yuccaid.VM) bool { return false }
	}
	for _, dm := range fl.daemons {
		dm.relay.cut(apart)
	}
}

// inForce waits until every daemon has the newest configuration.
func (fl *fleet) inForce() {
	GinkgoHelper()
	for _, dm := range fl.daemons {
		Eventually(func(g Gomega) { g.Expect(dm.status(g).Digest).To(Equal(fl.state.Digest())) }).
			WithTimeout(patience).WithPolling(pollEach).Should(Succeed(), dm.logs.String)
	}
}

// settle waits until every daemon has the newest configuration and sees all others.
func (fl *fleet) settle() {
	GinkgoHelper()
	for _, dm := range fl.daemons {
		Eventually(func(g Gomega) {
			status := dm.status(g)
			g.Expect(status.Ready).To(BeTrue())
			g.Expect(status.Digest).To(Equal(fl.state.Digest()))
			g.Expect(status.Peers).To(HaveLen(fl.countIn(dm.centre)))
		}).WithTimeout(patience).WithPolling(pollEach).Should(Succeed(), func() string { return dm.logs.String() })
	}
}

func (dm *daemon) audit(g Gomega) []yuccadaemon.AuditEntry {
	var entries []yuccadaemon.AuditEntry
	fetch(g, dm.addresses.Operator, "/v1/audit", &entries)
	return entries
}

// grants is how many grants the daemon has given as a leader.
func (dm *daemon) grants(g Gomega) int {
	reply, err := http.Get("http://" + dm.addresses.Operator + "/metrics")
	g.Expect(err).NotTo(HaveOccurred())
	defer reply.Body.Close()
	raw, err := io.ReadAll(reply.Body)
	g.Expect(err).NotTo(HaveOccurred())
	found := regexp.MustCompile(`yuccacleat_grants_total (\d+)`).FindSubmatch(raw)
	g.Expect(found).To(HaveLen(2))
	count, err := strconv.Atoi(string(found[1]))
	g.Expect(err).NotTo(HaveOccurred())
	return count
}

func (fl *fleet) countIn(centre yuccaid.Centre) int {
	count := 0
	for _, dm := range fl.daemons {
		if dm.centre == centre {
			count++
		}
	}
	return count
}

func (dm *daemon) status(g Gomega) yuccadaemon.Status {
	var status yuccadaemon.Status
	fetch(g, dm.addresses.Operator, "/v1/status", &status)
	return status
}

// leads reports whether the daemon leads a pool.
func (dm *daemon) leads(pool yuccaid.Pool) bool {
	status := dm.status(Default)
	_, leads := status.Leads[pool]
	return leads
}

// leader returns the daemon that leads a pool, and the others.
func (fl *fleet) leader(pool yuccaid.Pool) (*daemon, []*daemon) {
	GinkgoHelper()
	var leader *daemon
	var others []*daemon
	Eventually(func() *daemon {
		leader, others = fl.split(pool)
		return leader
	}).WithTimeout(patience).WithPolling(pollEach).ShouldNot(BeNil())
	return leader, others
}

func (fl *fleet) split(pool yuccaid.Pool) (leader *daemon, others []*daemon) {
	for _, dm := range fl.daemons {
		if leader == nil && dm.leads(pool) {
			leader = dm
			continue
		}
		others = append(others, dm)
	}
	return leader, others
}
