// Package yuccastream keeps what decides where a stream may go on: the pool and the version of the
// targets' software that began it.
//
// What two versions write doesn't fit together. A caller whose stream broke off may take it up at any
// daemon, which can't know from the request which version began it. So daemons remember the origins of
// streams and pass them on (Memory), and know which versions a pool has had for a while (History): if
// it was only one, no stream can have begun at another. If all of them were lost, targets are asked what they
// keep of prompts (Survey): the last part of a stream's prompt is its own, and the target that began it has
// read it (OriginOf).
package yuccastream
