package yuccawire

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastream"
)

// Origins tell where streams began: those with the keys in the pool, at the version. They are to be
// remembered for some seconds.
type Origins struct {
	Pool    yuccaid.Pool
	Version yuccaid.Version
	Keys    []yuccastream.Key
	Seconds int
}

// OriginQuery asks where a stream began, and what the receiver knows of a pool's versions and of the stream's
// route. The sender identifies the query by a number.
type OriginQuery struct {
	Number uint64          `msgpack:"number"`
	Key    yuccastream.Key `msgpack:"key"`
	Pool   yuccaid.Pool    `msgpack:"pool"`
	// RouteName and Route are the route as the sender knows it.
	RouteName string            `msgpack:"routeName"`
	Route     yuccastream.Route `msgpack:"route"`
}

// OriginAnswer tells where a stream began, if the sender remembers it, and the sender's view of the pool
// of the OriginQuery.
type OriginAnswer struct {
	Number  uint64          `msgpack:"number"`
	Found   bool            `msgpack:"found"`
	Pool    yuccaid.Pool    `msgpack:"pool"`
	Version yuccaid.Version `msgpack:"version"`
	// Sole, Several, Complete, Fresh, Kept and Moved are the view. Older builds don't tell the last two.
	Sole     yuccaid.Version `msgpack:"sole"`
	Several  bool            `msgpack:"several"`
	Complete bool            `msgpack:"complete"`
	Fresh    bool            `msgpack:"fresh"`
	Kept     bool            `msgpack:"kept"`
	Moved    bool            `msgpack:"moved"`
}

// HoldingQuery asks what a shard of the targets keeps of a part of a prompt. The sender identifies the query by
// a number.
type HoldingQuery struct {
	Number uint64              `msgpack:"number"`
	Shard  int                 `msgpack:"share"`
	Part   yuccastream.PartKey `msgpack:"part"`
}

// HoldingAnswer tells what the targets of the HoldingQuery's shard keep of its part.
type HoldingAnswer struct {
	Number   uint64        `msgpack:"number"`
	Holdings []PartHolding `msgpack:"holdings"`
}

// PartHolding is what one target keeps. It has no tokens if the target didn't tell, and no pool if nothing is known of the target.
type PartHolding struct {
	Pool    yuccaid.Pool    `msgpack:"pool"`
	Version yuccaid.Version `msgpack:"version"`
	Tokens  yuccaid.Tokens  `msgpack:"tokens"`
}

// VersionAsk is an Ask for a request that only targets of one version may serve, or whose answer has to
// be complete at a certain time. Older builds, which can't read an Ask with a further field, don't
// answer it, or ignore the end.
type VersionAsk struct {
	Ask     Ask             `msgpack:"ask"`
	Version yuccaid.Version `msgpack:"version"`
	// EndMillis is the time until the answer has to be complete, zero if there is no such time.
	EndMillis int64 `msgpack:"endMillis,omitempty"`
}
