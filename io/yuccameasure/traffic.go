package yuccameasure

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
)

// kindCount is what daemons sent in messages of one kind.
type kindCount struct {
	Kind     string
	Messages float64
	Bytes    float64
}

// linkLine is a line of the metrics; only what was sent counts, or each message would
// be counted at both its ends.
var linkLine = regexp.MustCompile(`^yuccacleat_link_(messages|bytes)_total\{kind="([^"]+)",direction="sent"\} (\d+)$`)

// sentBy reads what one daemon has sent since its start.
func sentBy(ctx context.Context, dmn *daemon) ([]kindCount, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+dmn.addresses.Operator+"/metrics", nil)
	if err != nil {
		return nil, eris.Wrap(err, "building a call")
	}
	reply, err := client.Do(call)
	if err != nil {
		return nil, eris.Wrap(err, "reading a daemon's metrics")
	}
	defer reply.Body.Close()
	return parseSent(reply.Body)
}

func parseSent(from io.Reader) ([]kindCount, error) {
	var counts []kindCount
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		found := linkLine.FindStringSubmatch(lines.Text())
		if found == nil {
			continue
		}
		value, err := strconv.ParseFloat(found[3], 64)
		if err != nil {
			return nil, eris.Wrap(err, "reading a count")
		}
		one := kindCount{Kind: found[2]}
		if found[1] == "messages" {
			one.Messages = value
		} else {
			one.Bytes = value
		}
		counts = merge(counts, one, 1)
	}
	return counts, eris.Wrap(lines.Err(), "reading a daemon's metrics")
}

// merge adds a count, times a factor, to that of its kind.
func merge(counts []kindCount, one kindCount, factor float64) []kindCount {
	at := slices.IndexFunc(counts, func(other kindCount) bool { return other.Kind == one.Kind })
	if at < 0 {
		counts = append(counts, kindCount{Kind: one.Kind})
		at = len(counts) - 1
	}
	counts[at].Messages += factor * one.Messages
	counts[at].Bytes += factor * one.Bytes
	return counts
}

// less returns what came on top of an earlier count, times a factor.
func less(after, before []kindCount, factor float64) []kindCount {
	var grown []kindCount
	for _, one := range after {
		grown = merge(grown, one, 1)
	}
	for _, one := range before {
		grown = merge(grown, one, -factor)
	}
	return grown
}

// scaled divides all counts and drops what rounds to nothing.
func scaled(counts []kindCount, by float64) []kindCount {
	var all []kindCount
	for _, one := range counts {
		one.Messages, one.Bytes = one.Messages/by, one.Bytes/by
		if one.Messages > 0.0005 || one.Bytes > 0.05 {
			all = append(all, one)
		}
	}
	slices.SortFunc(all, func(a, b kindCount) int { return cmp.Compare(b.Bytes, a.Bytes) })
	return all
}

// isTraffic tells answers on their way to a forwarder from control.
func isTraffic(kind string) bool {
	return slices.Contains([]string{"submit", "piece", "end", "follow", "abort", "hello", "proof"}, kind)
}

// control sums the kinds that carry control.
func control(counts []kindCount) kindCount {
	sum := kindCount{Kind: "control"}
	for _, one := range counts {
		if !isTraffic(one.Kind) {
			sum.Messages += one.Messages
			sum.Bytes += one.Bytes
		}
	}
	return sum
}

// picture is what a fleet had used at one moment, daemon by daemon.
type picture struct {
	sent  [][]kindCount
	usage []usage
}

// take reads every daemon's counts and times.
func (flt *fleet) take(ctx context.Context) (picture, error) {
	var pic picture
	for _, dmn := range flt.daemons {
		sent, err := sentBy(ctx, dmn)
		if err != nil {
			return pic, err
		}
		used, err := dmn.usage()
		if err != nil {
			return pic, err
		}
		pic.sent = append(pic.sent, sent)
		pic.usage = append(pic.usage, used)
	}
	return pic, nil
}

// all sums the counts of all daemons.
func (pic picture) all() []kindCount {
	var sum []kindCount
	for _, sent := range pic.sent {
		for _, one := range sent {
			sum = merge(sum, one, 1)
		}
	}
	return sum
}
