// Package yuccawire is the protocol between the system's own processes: msgpack
// frames behind a length, and the handshake in which both ends prove that they hold
// the fleet's key.
//
// A frame is a 4-byte big-endian length and a msgpack array of the message's kind and
// its body. A reader that can't take a frame gives an error of a type of its own and
// reads no further: after a wrong length nothing behind it can be trusted.
//
// The handshake proves who is at the other end when the connection starts. It neither
// encrypts nor signs the frames after it, so it keeps strangers and misdirected
// processes out, not somebody who can change packets on the path.
package yuccawire
