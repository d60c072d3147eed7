// Package yuccacache estimates which parts of prompts the prefix caches of engines hold.
//
// An engine keeps the parts of prompts that it has read, and evicts the least recently used part
// when its memory is full. A Model follows one engine's cache from the prompts that were sent to the
// engine. An Index finds the engines that hold a part, so that a prompt is looked up once and not
// once for each engine.
//
// A part is identified by a hash that depends on all parts before it, because an engine can only use
// a part if it holds all parts before it as well.
package yuccacache
