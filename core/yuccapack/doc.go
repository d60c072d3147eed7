// Package yuccapack checks msgpack before it is decoded.
//
// The decoder makes room for what a length announces before it reads on. A damaged or
// hostile value of a few bytes would announce billions of keys and end the process for
// lack of memory, with every request that it holds. Check the bytes first.
package yuccapack
