package yuccameasure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccaserve"
	"yuccacleat/io/yuccastand"
)

// shape is how a fleet is built.
type shape struct {
	centres int
	// daemons counts those of each data centre.
	daemons int
	engines int
	slots   int
	decode  yuccaid.TokenRate
	// rest is the part of the configuration that concerns other data centres.
	rest scale
}

func (shp shape) processes() int {
	return 1 + shp.centres*(shp.daemons+shp.engines)
}

// fleet is a platform, engines and daemons, all processes of this run.
type fleet struct {
	programs Programs
	shape    shape
	dir      string
	platform string
	engines  []engine
	daemons  []*daemon
	children []*child
	state    *yuccastate.State
	// began is when the first daemon was started.
	began time.Time
}

// engine is one stand-in engine and where it stands.
type engine struct {
	centre  yuccaid.Centre
	address string
}

// daemon is one daemon's process.
type daemon struct {
	*child
	name      yuccaid.VM
	centre    yuccaid.Centre
	addresses yuccaserve.Addresses
}

// startFleet starts everything and returns when each daemon serves and sees its peers.
func startFleet(ctx context.Context, programs Programs, shp shape) (*fleet, error) {
	if shp.processes() > MaxProcesses {
		return nil, eris.Errorf("%d processes are more than %d: measure a smaller fleet", shp.processes(), MaxProcesses)
	}
	dir, err := os.MkdirTemp("", "yuccameasure")
	if err != nil {
		return nil, eris.Wrap(err, "making a directory for settings")
	}
	flt := &fleet{programs: programs, shape: shp, dir: dir, state: yuccastate.Empty()}
	if err := flt.start(ctx); err != nil {
		flt.close()
		return nil, err
	}
	return flt, nil
}

func (flt *fleet) start(ctx context.Context) error {
	if err := os.WriteFile(flt.keyFile(), []byte("the fleet key of a measuring run only\n"), 0o600); err != nil {
		return eris.Wrap(err, "writing the fleet's key")
	}
	if err := flt.startStands(); err != nil {
		return err
	}
	for _, note := range append([]yuccastate.Note{flt.firstNote()}, restNotes(flt.shape)...) {
		if err := flt.publish(note); err != nil {
			return err
		}
	}
	if err := flt.startDaemons(); err != nil {
		return err
	}
	return flt.settle(ctx)
}

func (flt *fleet) startStands() error {
	var err error
	if flt.platform, err = flt.stand("platform"); err != nil {
		return err
	}
	for centre := range flt.shape.centres {
		for range flt.shape.engines {
			address, err := flt.stand("engine", "--prefill", fmt.Sprint(enginePrefill),
				"--decode", fmt.Sprint(float64(flt.shape.decode)), "--slots", fmt.Sprint(flt.shape.slots))
			if err != nil {
				return err
			}
			flt.engines = append(flt.engines, engine{centre: centreName(centre), address: address})
		}
	}
	return nil
}

func (flt *fleet) stand(args ...string) (string, error) {
	chd, err := startChild(flt.programs.Stand, append(args, "--listen", "127.0.0.1:0")...)
	if err != nil {
		return "", err
	}
	flt.children = append(flt.children, chd)
	var told struct {
		Listening string `json:"listening"`
	}
	return told.Listening, chd.told(&told)
}

func (flt *fleet) startDaemons() error {
	flt.began = time.Now()
	for centre := range flt.shape.centres {
		for index := range flt.shape.daemons {
			name := yuccaid.VM(fmt.Sprintf("entry-%d-%d", centre+1, index+1))
			if _, err := flt.startDaemon(centreName(centre), name); err != nil {
				return err
			}
		}
	}
	return flt.list()
}

// startDaemon starts one daemon that asks the seeds while it can't read the platform.
func (flt *fleet) startDaemon(centre yuccaid.Centre, name yuccaid.VM, seeds ...string) (*daemon, error) {
	settings := fmt.Sprintf(`vm: %s
centre: %s
listen:
  caller: 127.0.0.1:0
  peer: 127.0.0.1:0
  operator: 127.0.0.1:0
platform: http://%s
fleetKeyFile: %s
longestDrain: 2s
`, name, centre, flt.platform, flt.keyFile())
	for index, seed := range seeds {
		if index == 0 {
			settings += "seeds:\n"
		}
		settings += "  - " + seed + "\n"
	}
	path := filepath.Join(flt.dir, string(name)+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, eris.Wrap(err, "writing a daemon's settings")
	}
	chd, err := startChild(flt.programs.Daemon, "serve", "--settings", path)
	if err != nil {
		return nil, err
	}
	flt.children = append(flt.children, chd)
	dmn := &daemon{child: chd, name: name, centre: centre}
	flt.daemons = append(flt.daemons, dmn)
	return dmn, chd.told(&dmn.addresses)
}

// list publishes which VMs are live, as the platform would.
func (flt *fleet) list() error {
	var page yuccastand.VMPage
	for _, dmn := range flt.daemons {
		page.VMs = append(page.VMs, yuccastand.VMEntry{
			VM: string(dmn.name), Centre: string(dmn.centre), Address: dmn.addresses.Peer, Kind: "entry", State: "live",
		})
	}
	raw, err := json.Marshal(page)
	if err != nil {
		return eris.Wrap(err, "writing the list of VMs")
	}
	return put(flt.platform, "/control/vms", raw)
}

func (flt *fleet) firstNote() yuccastate.Note {
	note := yuccastate.Note{Author: account}
	note.Added.Centres = make(map[yuccaid.Centre]yuccastate.Centre)
	for centre := range flt.shape.centres {
		// Regions of three or four data centres, as 14 in 4 regions have.
		region := yuccaid.Region(fmt.Sprintf("region-%d", centre*4/max(flt.shape.centres, 4)))
		note.Added.Centres[centreName(centre)] = yuccastate.Centre{Region: region}
	}
	note.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{tier: {Rank: 0}}
	note.Added.Pools = map[yuccaid.Pool]yuccastate.Pool{draftPool: {
		Kind: yuccastate.PoolModel, LongestRun: runDeadline,
		Operations: yuccastate.Operations{"generate": {Idempotent: true}},
	}}
	note.Added.Accounts = map[yuccaid.Account]yuccastate.Account{account: {
		Credential: yuccastate.CredentialDigest(secret), Weight: 1,
		Tiers: []yuccaid.Tier{tier}, Pools: []yuccaid.Pool{draftPool},
	}}
	note.Added.Targets = make(map[yuccaid.Target]yuccastate.Target)
	for index, eng := range flt.engines {
		note.Added.Targets[yuccaid.Target(fmt.Sprintf("stand-%d", index+1))] = yuccastate.Target{
			Pool: draftPool, Centre: eng.centre, VM: yuccaid.VM(fmt.Sprintf("vm-engine-%d", index+1)), Address: eng.address,
			Slots: flt.shape.slots, Prefill: enginePrefill, Decode: flt.shape.decode, Cache: 200_000,
		}
	}
	return note
}

// publish completes a note against the newest configuration and puts it up.
func (flt *fleet) publish(note yuccastate.Note) error {
	note.Number = flt.state.Number + 1
	note.Base = flt.state.Digest()
	next, err := flt.state.Apply(note)
	if err != nil {
		return eris.Wrap(err, "folding a note of the measuring run")
	}
	flt.state = next
	return put(flt.platform, "/control/keys/"+yuccastate.NoteKey(note.Number), note.Canonical())
}

// settle waits until every daemon serves the newest configuration with all its peers.
func (flt *fleet) settle(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, settleLimit)
	defer stop()
	for _, dmn := range flt.daemons {
		for !flt.settled(ctx, dmn) {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s was not ready with %d peers in %v", dmn.name, flt.shape.daemons, settleLimit)
			case <-time.After(pollEvery):
			}
		}
	}
	return nil
}

func (flt *fleet) settled(ctx context.Context, dmn *daemon) bool {
	var status yuccadaemon.Status
	if err := fetch(ctx, dmn.addresses.Operator, "/v1/status", &status); err != nil {
		return false
	}
	return status.Ready && status.Digest == flt.state.Digest() && len(status.Peers) == flt.shape.daemons
}

// close ends the children of this run, all at once, and waits for each.
func (flt *fleet) close() {
	var ending sync.WaitGroup
	for _, chd := range flt.children {
		ending.Go(chd.end)
	}
	ending.Wait()
	_ = os.RemoveAll(flt.dir)
}

func (flt *fleet) keyFile() string {
	return filepath.Join(flt.dir, "key")
}

func centreName(index int) yuccaid.Centre {
	return yuccaid.Centre(fmt.Sprintf("centre-%d", index+1))
}

// client keeps one connection open to each child.
var client = &http.Client{Timeout: settleLimit}

func fetch(ctx context.Context, address, path string, into any) error {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "building a call")
	}
	reply, err := client.Do(call)
	if err != nil {
		return eris.Wrap(err, "calling a child")
	}
	defer reply.Body.Close()
	return eris.Wrap(json.NewDecoder(reply.Body).Decode(into), "reading a child's answer")
}

func put(address, path string, body []byte) error {
	return send(http.MethodPut, address, path, body)
}

func send(method, address, path string, body []byte) error {
	call, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "building a call")
	}
	call.Header.Set("Content-Type", "application/json")
	reply, err := client.Do(call)
	if err != nil {
		return eris.Wrap(err, "calling a stand-in")
	}
	defer reply.Body.Close()
	if reply.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("%s %s answered %s", method, path, reply.Status)
	}
	return nil
}
