package yuccameasure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"yuccacleat/core/yuccaid"
)

// MembersPlan says which fleets are measured and for how long.
type MembersPlan struct {
	Centres int
	// Sizes are the daemons of each data centre, one fleet after the other.
	Sizes []int
	Quiet time.Duration
	Load  time.Duration
	// Rate is the load in requests a second for each daemon.
	Rate float64
	// Answer is an answer's length and Decode the engines' rate: owners tell leaders of
	// a run's progress every two seconds, so long runs cost more messages.
	Answer yuccaid.Tokens
	Decode yuccaid.TokenRate
}

// MembersRow is what a daemon of one fleet costs.
type MembersRow struct {
	Centres         int     `json:"centres"`
	Daemons         int     `json:"daemons"`
	LoadAverage     float64 `json:"loadAverage"`
	QuietSeconds    float64 `json:"quietSeconds"`
	BytesMean       float64 `json:"bytesPerSecondMean"`
	BytesMax        float64 `json:"bytesPerSecondMax"`
	MessagesMean    float64 `json:"messagesPerSecondMean"`
	CoreMean        float64 `json:"coreShareMean"`
	CoreMax         float64 `json:"coreShareMax"`
	ResidentMean    float64 `json:"residentBytesMean"`
	ResidentMax     float64 `json:"residentBytesMax"`
	StartSeconds    float64 `json:"startSeconds"`
	Requests        int64   `json:"requests"`
	Failed          int64   `json:"failed"`
	RequestRate     float64 `json:"requestsPerSecond"`
	AnswerTokens    float64 `json:"answerTokens"`
	RunSeconds      float64 `json:"runSeconds"`
	RequestBytes    float64 `json:"controlBytesPerRequest"`
	RequestMessages float64 `json:"controlMessagesPerRequest"`
	RequestMillis   float64 `json:"processorMillisPerRequest"`
	LeaderShare     float64 `json:"coreShareMaxUnderLoad"`
	ResidentLoaded  float64 `json:"residentBytesMaxAfterLoad"`
}

// KindRow is the part of one kind of message.
type KindRow struct {
	Centres  int     `json:"centres"`
	Daemons  int     `json:"daemons"`
	Of       string  `json:"of"`
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

// Members measures fleets one after the other: first quiet, then under a steady load.
func Members(ctx context.Context, programs Programs, plan MembersPlan, text, lines io.Writer) error {
	var rows []MembersRow
	var kinds []KindRow
	for _, size := range plan.Sizes {
		row, parts, err := members(ctx, programs, plan, size)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		kinds = append(kinds, parts...)
	}
	if err := membersTable(rows).Write(text, lines); err != nil {
		return err
	}
	if err := kindTable(kinds).Write(text, lines); err != nil {
		return err
	}
	return fits("members fits over daemons of a data centre", membersFits(rows)).Write(text, lines)
}

func members(ctx context.Context, programs Programs, plan MembersPlan, size int) (MembersRow, []KindRow, error) {
	shp := shape{centres: plan.Centres, daemons: size, engines: enginesFor(plan, size), slots: 256, decode: plan.Decode}
	flt, err := startFleet(ctx, programs, shp)
	if err != nil {
		return MembersRow{}, nil, err
	}
	defer flt.close()
	row := MembersRow{
		Centres: plan.Centres, Daemons: len(flt.daemons), StartSeconds: time.Since(flt.began).Seconds(),
		AnswerTokens: float64(plan.Answer), RunSeconds: float64(plan.Answer) / float64(plan.Decode),
	}
	// Leaders gather and connections settle before the quiet span is counted.
	rest(ctx, 5*time.Second)
	row.LoadAverage = LoadAverage()
	quiet, err := flt.quiet(ctx, plan.Quiet, &row)
	if err != nil {
		return row, nil, err
	}
	parts := row.kinds("daemon and second, quiet", quiet)
	perRequest, err := flt.loaded(ctx, plan, quiet, &row)
	return row, append(parts, row.kinds("request", perRequest)...), err
}

func enginesFor(plan MembersPlan, size int) int {
	if plan.Centres > 1 {
		return 1
	}
	return max(1, min(4, size/7))
}

func rest(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// quiet returns the bytes and messages of a daemon in a second without requests.
func (flt *fleet) quiet(ctx context.Context, span time.Duration, row *MembersRow) ([]kindCount, error) {
	began := time.Now()
	before, err := flt.take(ctx)
	if err != nil {
		return nil, err
	}
	rest(ctx, span)
	after, err := flt.take(ctx)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	row.QuietSeconds = seconds
	var bytes, messages, cores, resident []float64
	for index := range flt.daemons {
		sum := control(less(after.sent[index], before.sent[index], 1))
		bytes = append(bytes, sum.Bytes/seconds)
		messages = append(messages, sum.Messages/seconds)
		cores = append(cores, (after.usage[index].Processor-before.usage[index].Processor).Seconds()/seconds)
		resident = append(resident, float64(after.usage[index].Resident))
	}
	row.BytesMean, row.BytesMax = stat.Mean(bytes, nil), floats.Max(bytes)
	row.MessagesMean = stat.Mean(messages, nil)
	row.CoreMean, row.CoreMax = stat.Mean(cores, nil), floats.Max(cores)
	row.ResidentMean, row.ResidentMax = stat.Mean(resident, nil), floats.Max(resident)
	return scaled(less(after.all(), before.all(), 1), seconds*float64(len(flt.daemons))), nil
}

// loaded returns what a request adds to a quiet daemon's messages.
func (flt *fleet) loaded(ctx context.Context, plan MembersPlan, quiet []kindCount, row *MembersRow) ([]kindCount, error) {
	began := time.Now()
	before, err := flt.take(ctx)
	if err != nil {
		return nil, err
	}
	count := flt.steady(ctx, plan.Rate*float64(len(flt.daemons)), plan.Load, plan.Answer)
	after, err := flt.take(ctx)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	row.Requests, row.Failed = count.ran.Load(), count.failed.Load()
	if row.Requests == 0 {
		return nil, eris.New("no request of the load ran")
	}
	requests := float64(row.Requests)
	row.RequestRate = requests / seconds
	perRequest := scaled(less(less(after.all(), before.all(), 1), quiet, seconds*float64(len(flt.daemons))), requests)
	sum := control(perRequest)
	row.RequestBytes, row.RequestMessages = sum.Bytes, sum.Messages
	var busy time.Duration
	for index := range flt.daemons {
		used := after.usage[index].Processor - before.usage[index].Processor
		busy += used
		row.LeaderShare = max(row.LeaderShare, used.Seconds()/seconds)
		row.ResidentLoaded = max(row.ResidentLoaded, float64(after.usage[index].Resident))
	}
	idle := row.CoreMean * seconds * float64(len(flt.daemons))
	row.RequestMillis = (busy.Seconds() - idle) * 1000 / requests
	return perRequest, nil
}

func (row MembersRow) kinds(of string, counts []kindCount) []KindRow {
	var rows []KindRow
	for _, one := range counts {
		rows = append(rows, KindRow{
			Centres: row.Centres, Daemons: row.Daemons, Of: of, Kind: one.Kind, Messages: one.Messages, Bytes: one.Bytes,
		})
	}
	return rows
}

func membersTable(rows []MembersRow) Table[MembersRow] {
	return Table[MembersRow]{Title: "members", Rows: rows, Columns: []Column[MembersRow]{
		{"centres", func(row MembersRow) string { return fmt.Sprint(row.Centres) }},
		{"daemons", func(row MembersRow) string { return fmt.Sprint(row.Daemons) }},
		{"load", func(row MembersRow) string { return tenth(row.LoadAverage) }},
		{"B/s", func(row MembersRow) string { return whole(row.BytesMean) }},
		{"B/s max", func(row MembersRow) string { return whole(row.BytesMax) }},
		{"msg/s", func(row MembersRow) string { return tenth(row.MessagesMean) }},
		{"core %", func(row MembersRow) string { return fine(100 * row.CoreMean) }},
		{"core % max", func(row MembersRow) string { return fine(100 * row.CoreMax) }},
		{"MB", func(row MembersRow) string { return tenth(row.ResidentMean / 1e6) }},
		{"MB max", func(row MembersRow) string { return tenth(row.ResidentMax / 1e6) }},
		{"start s", func(row MembersRow) string { return tenth(row.StartSeconds) }},
		{"req", func(row MembersRow) string { return fmt.Sprint(row.Requests) }},
		{"failed", func(row MembersRow) string { return fmt.Sprint(row.Failed) }},
		{"run s", func(row MembersRow) string { return tenth(row.RunSeconds) }},
		{"req/s", func(row MembersRow) string { return tenth(row.RequestRate) }},
		{"B/req", func(row MembersRow) string { return whole(row.RequestBytes) }},
		{"msg/req", func(row MembersRow) string { return fine(row.RequestMessages) }},
		{"ms/req", func(row MembersRow) string { return fine(row.RequestMillis) }},
		{"core % max loaded", func(row MembersRow) string { return fine(100 * row.LeaderShare) }},
		{"MB max loaded", func(row MembersRow) string { return tenth(row.ResidentLoaded / 1e6) }},
	}}
}

func kindTable(rows []KindRow) Table[KindRow] {
	return Table[KindRow]{Title: "members by kind", Rows: rows, Columns: []Column[KindRow]{
		{"centres", func(row KindRow) string { return fmt.Sprint(row.Centres) }},
		{"daemons", func(row KindRow) string { return fmt.Sprint(row.Daemons) }},
		{"per", func(row KindRow) string { return row.Of }},
		{"kind", func(row KindRow) string { return row.Kind }},
		{"messages", func(row KindRow) string { return fine(row.Messages) }},
		{"bytes", func(row KindRow) string { return tenth(row.Bytes) }},
	}}
}

// membersFits relates a daemon's costs to the daemons of its data centre.
func membersFits(rows []MembersRow) []Fit {
	each := func(what string, of func(MembersRow) float64) Fit {
		var sizes, values []float64
		for _, row := range rows {
			sizes = append(sizes, float64(row.Daemons)/float64(row.Centres))
			values = append(values, of(row))
		}
		return FitLine(what, sizes, values)
	}
	return []Fit{
		each("control bytes a second", func(row MembersRow) float64 { return row.BytesMean }),
		each("control messages a second", func(row MembersRow) float64 { return row.MessagesMean }),
		each("share of a core, quiet", func(row MembersRow) float64 { return row.CoreMean }),
		each("resident bytes", func(row MembersRow) float64 { return row.ResidentMean }),
		each("control bytes a request", func(row MembersRow) float64 { return row.RequestBytes }),
		each("control messages a request", func(row MembersRow) float64 { return row.RequestMessages }),
	}
}
