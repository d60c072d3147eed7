// Package yuccapack checks msgpack before it is decoded.
//
// A decoder allocates memory for an announced length before it reads on. A damaged or
// hostile value of a few bytes could announce billions of keys and end the process for
// lack of memory, together with every request that the process holds. Call Check before
// decoding.
package yuccapack
