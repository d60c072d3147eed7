package yuccadaemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaplat"
)

// baselineEvery spaces the looks for a baseline: only a process whose first notes
// operators have pruned reads one, and each reading takes several calls.
const baselineEvery = 5 * time.Second

// watchBaseline reads the newest published baseline when the notes that this daemon
// needs next are not to be had, as after operators pruned old ones. Without it a new
// process would wait for ever where no peer is left.
func (d *Daemon) watchBaseline(ctx context.Context) {
	ticker := time.NewTicker(baselineEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.readBaselineIfCut(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Daemon) readBaselineIfCut(ctx context.Context) {
	var cut bool
	d.control.Call(func(time.Time) { cut = len(d.chain.Missing()) > 0 })
	if !cut {
		return
	}
	parts, err := d.baselineParts(ctx)
	if err != nil || len(parts) == 0 {
		return
	}
	state, err := newestBaseline(parts)
	if err != nil {
		d.log.problem("baseline", err)
		return
	}
	d.control.Post(func(now time.Time) { d.takeState(now, state, "", "baseline") })
}

// baselineParts reads every part that is published, page by page.
func (d *Daemon) baselineParts(ctx context.Context) (map[yuccaid.ConfigNumber][]yuccastate.Part, error) {
	parts := make(map[yuccaid.ConfigNumber][]yuccastate.Part)
	var after yuccaplat.Revision
	for {
		page, err := d.platform.Watch(ctx, yuccastate.BaselinePrefix, after)
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			after = max(after, entry.Revision)
			if part, ok := partOf(entry); ok {
				parts[part.Number] = append(parts[part.Number], part)
			}
		}
		if !page.More || len(page.Entries) == 0 {
			return parts, nil
		}
	}
}

func partOf(entry yuccaplat.Entry) (yuccastate.Part, bool) {
	if !strings.HasPrefix(entry.Key, yuccastate.BaselinePrefix) {
		return yuccastate.Part{}, false
	}
	number, index, err := yuccastate.ParsePartKey(entry.Key)
	return yuccastate.Part{Number: number, Index: index, Value: entry.Value}, err == nil
}

// newestBaseline takes the highest number whose parts are all there and agree; one
// that is only half published is passed over.
func newestBaseline(parts map[yuccaid.ConfigNumber][]yuccastate.Part) (*yuccastate.State, error) {
	numbers := make([]yuccaid.ConfigNumber, 0, len(parts))
	for number := range parts {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	var last error
	for _, number := range numbers {
		state, err := yuccastate.JoinParts(parts[number])
		if err == nil {
			return state, nil
		}
		last = err
	}
	return yuccastate.Empty(), last
}
