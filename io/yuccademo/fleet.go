package yuccademo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaconf"
	"yuccacleat/io/yuccaserve"
	"yuccacleat/io/yuccastand"
)

const (
	centre     = yuccaid.Centre("odessa-1")
	fleetKey   = "the demo's own fleet key, never used elsewhere"
	deskSecret = "desk"
	pollEvery  = 20 * time.Millisecond
	drainLimit = 10 * time.Second
)

// engineSpec is one engine of the demo's pool.
type engineSpec struct {
	name    yuccaid.Target
	prefill yuccaid.TokenRate
	decode  yuccaid.TokenRate
	slots   int
}

// The engines are of two generations, so that placing has something to choose.
var engineSpecs = []engineSpec{
	{name: "engine-new", prefill: 20_000, decode: 400, slots: 6},
	{name: "engine-old", prefill: 6_000, decode: 150, slots: 4},
}

// fleet is everything the demo runs.
type fleet struct {
	platform *yuccastand.Platform
	engines  []*yuccastand.Engine
	desk     *yuccastand.Plain
	daemons  []*yuccaserve.Process
}

func newFleet(daemons int) (*fleet, error) {
	fl := &fleet{}
	listener, err := loopback()
	if err != nil {
		return nil, err
	}
	fl.platform = yuccastand.NewPlatform(listener)
	for _, spec := range engineSpecs {
		if listener, err = loopback(); err != nil {
			return fl, err
		}
		fl.engines = append(fl.engines, yuccastand.NewEngine(listener, yuccastand.WithRates(spec.prefill, spec.decode), yuccastand.WithSlots(spec.slots)))
	}
	if listener, err = loopback(); err != nil {
		return fl, err
	}
	fl.desk = yuccastand.NewPlain(listener)
	for i := range daemons {
		if err := fl.start(yuccaid.VM(fmt.Sprintf("entry-%d", i+1))); err != nil {
			return fl, err
		}
	}
	if err := fl.list(); err != nil {
		return fl, err
	}
	return fl, fl.publish(fl.note())
}

func (fl *fleet) start(vm yuccaid.VM) error {
	settings := yuccaconf.Defaults()
	settings.VM = vm
	settings.Centre = centre
	settings.Platform = "http://" + fl.platform.Address()
	settings.Listen.Caller = anyPort
	settings.Listen.Peer = anyPort
	settings.Listen.Operator = anyPort
	settings.LongestDrain = drainLimit
	proc, err := yuccaserve.Start(&settings, yuccaid.Key(fleetKey), log.NewNopLogger())
	if err != nil {
		return err
	}
	fl.daemons = append(fl.daemons, proc)
	return nil
}

// close ends everything; daemons first, so that they see no target vanish.
func (fl *fleet) close() {
	ctx, stop := context.WithTimeout(context.Background(), drainLimit)
	defer stop()
	for _, proc := range fl.daemons {
		proc.Stop(ctx)
	}
	for _, engine := range fl.engines {
		_ = engine.Close()
	}
	if fl.desk != nil {
		_ = fl.desk.Close()
	}
	_ = fl.platform.Close()
}

// listedVM is an entry of the platform's list.
type listedVM struct {
	VM      yuccaid.VM     `json:"vm"`
	Centre  yuccaid.Centre `json:"centre"`
	Address string         `json:"address"`
	Kind    string         `json:"kind"`
	State   string         `json:"state"`
}

// vmList is the platform's list.
type vmList struct {
	VMs []listedVM `json:"vms"`
}

func (fl *fleet) list() error {
	var list vmList
	for _, proc := range fl.daemons {
		self := proc.Daemon.Self()
		list.VMs = append(list.VMs, listedVM{VM: self.VM, Centre: centre, Address: self.Address, Kind: "entry", State: "live"})
	}
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return fl.put("/control/vms", raw)
}

func (fl *fleet) note() yuccastate.Note {
	note := yuccastate.Note{Number: 1, Base: yuccastate.Empty().Digest(), Author: "demo"}
	note.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{centre: {Region: "permian"}}
	note.Added.Tiers = map[yuccaid.Tier]yuccastate.Tier{"urgent": {Rank: 0}, "normal": {Rank: 1}, "bulk": {Rank: 2}}
	note.Added.Pools = map[yuccaid.Pool]yuccastate.Pool{
		"draft": {Kind: yuccastate.PoolModel, LongestRun: time.Minute, Operations: yuccastate.Operations{"generate": {Idempotent: true}}},
		"desk":  {Kind: yuccastate.PoolService, LongestRun: time.Minute, Operations: yuccastate.Operations{"lookup": {Idempotent: true}, "file-ticket": {}}},
	}
	note.Added.Accounts = map[yuccaid.Account]yuccastate.Account{"desk": {
		Credential: yuccastate.CredentialDigest(deskSecret), Weight: 1,
		Tiers: []yuccaid.Tier{"urgent", "normal", "bulk"}, Pools: []yuccaid.Pool{"draft", "desk"},
	}}
	note.Added.Targets = map[yuccaid.Target]yuccastate.Target{
		"desk-1": {Pool: "desk", Centre: centre, VM: "vm-desk-1", Address: fl.desk.Address(), Slots: 4},
	}
	for i, spec := range engineSpecs {
		note.Added.Targets[spec.name] = yuccastate.Target{
			Pool: "draft", Centre: centre, VM: yuccaid.VM("vm-" + spec.name), Address: fl.engines[i].Address(),
			Slots: spec.slots, Prefill: spec.prefill, Decode: spec.decode, Cache: yuccastand.DefaultCache, ChecksFence: true,
		}
	}
	return note
}

func (fl *fleet) publish(note yuccastate.Note) error {
	return fl.put("/control/keys/"+yuccastate.NoteKey(note.Number), note.Canonical())
}

// put writes to the platform's stand-in as operators do; the daemons only read it.
func (fl *fleet) put(path string, body []byte) error {
	call, err := http.NewRequest(http.MethodPut, "http://"+fl.platform.Address()+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "building the call")
	}
	call.Header.Set("Content-Type", "application/json")
	reply, err := http.DefaultClient.Do(call)
	if err != nil {
		return eris.Wrap(err, "publishing at the platform")
	}
	defer reply.Body.Close()
	if reply.StatusCode >= http.StatusBadRequest {
		return eris.Errorf("platform refused %s with HTTP %d", path, reply.StatusCode)
	}
	return nil
}

// settle waits until every daemon serves the note and sees all others.
func (fl *fleet) settle(ctx context.Context) error {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !fl.settled() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the demo's daemons did not find each other")
		}
	}
	return nil
}

func (fl *fleet) settled() bool {
	for _, proc := range fl.daemons {
		status := proc.Daemon.Status()
		if !status.Ready || len(status.Peers) != len(fl.daemons) {
			return false
		}
	}
	return true
}

// runs counts what the stand-ins really ran, by request.
func (fl *fleet) runs() map[yuccaid.RequestID]int {
	counts := make(map[yuccaid.RequestID]int)
	logs := [][]yuccastand.Run{fl.desk.Runs()}
	for _, engine := range fl.engines {
		logs = append(logs, engine.Runs())
	}
	for _, log := range logs {
		for _, run := range log {
			counts[yuccaid.RequestID(run.ID)]++
		}
	}
	return counts
}

const anyPort = "127.0.0.1:0"

func loopback() (net.Listener, error) {
	listener, err := net.Listen("tcp", anyPort)
	return listener, eris.Wrap(err, "opening a loopback port")
}
