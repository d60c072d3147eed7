package yuccadaemon

import (
	"context"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaorder"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccatarget"
)

// orderTimeout bounds one order; what it did is seen by the next look at the target.
const orderTimeout = 4 * time.Second

// orderKinds are the names that targets know orders by.
var orderKinds = map[yuccaorder.Kind]yuccatarget.OrderKind{
	yuccaorder.Load:    yuccatarget.OrderLoad,
	yuccaorder.Unload:  yuccatarget.OrderUnload,
	yuccaorder.Version: yuccatarget.OrderVersion,
	yuccaorder.Adapter: yuccatarget.OrderAdapter,
	yuccaorder.Role:    yuccatarget.OrderRole,
}

// lookAt reads what a target has loaded and lets control compare it with the wish.
func (d *Daemon) lookAt(ctx context.Context, pool yuccaid.Pool, name yuccaid.Target, target yuccastate.Target) {
	seen, err := d.targets.State(ctx, target.Address)
	if err != nil {
		return
	}
	d.control.Offer(func(now time.Time) { d.compare(now, pool, name, seen) })
}

func (d *Daemon) compare(now time.Time, pool yuccaid.Pool, name yuccaid.Target, seen yuccatarget.State) {
	led, leads := d.leads[pool]
	state := d.State()
	target, known := state.Targets[name]
	if !leads || !known {
		return
	}
	led.planner.SetLoadRate(now, yuccaorder.DefaultLoadsPerMinute, d.leadersInView(state))
	order, hold := led.planner.NextOrder(now, state.Number, name, target, state.SetupOf(name), yuccaorder.ObservedState{
		Model: seen.Model, Version: seen.Version, Adapters: seen.Adapters, Role: seen.Role, Fence: seen.Fence,
	})
	if hold != "" {
		d.metrics.orderHeld(hold)
		return
	}
	d.audit.add(now, AuditEntry{
		Kind: AuditOrder, Who: d.self.Incarnation.String(), What: string(name), Number: state.Number, Detail: describeOrder(order),
	})
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		d.sendOrder(target.Address, order)
	}()
}

func describeOrder(order yuccaorder.Order) string {
	words := []string{string(order.Kind), string(order.Model), order.Version, string(order.Adapter), order.Role}
	return strings.Join(strings.Fields(strings.Join(words, " ")), " ")
}

// leadersInView estimates how many leaders share the weight store: one for each pool
// in each data centre that has targets of it.
func (d *Daemon) leadersInView(state *yuccastate.State) int {
	if state == d.leadersOf {
		return d.leadersCount
	}
	type place struct {
		pool   yuccaid.Pool
		centre yuccaid.Centre
	}
	places := make(map[place]struct{})
	for _, target := range state.Targets {
		places[place{target.Pool, target.Centre}] = struct{}{}
	}
	d.leadersOf = state
	d.leadersCount = len(places)
	return d.leadersCount
}

func (d *Daemon) sendOrder(address string, order yuccaorder.Order) {
	ctx, stop := context.WithTimeout(d.traffic, orderTimeout)
	defer stop()
	_, err := d.targets.Order(ctx, address, yuccatarget.Order{
		Kind: orderKinds[order.Kind], Model: order.Model, Version: order.Version, Adapter: order.Adapter,
		Role: order.Role, Fence: order.Fence, Expires: order.ValidFor,
	})
	if err != nil {
		d.log.problem("order to "+string(order.Target), err)
	}
}
