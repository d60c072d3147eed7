// Package yuccashift decides which other data centre may take a request that its own
// refuses for load.
//
// A request is first offered where its caller is, since traffic between regions is slow
// and paid by volume. Only when that data centre refuses is another one asked, by an
// offer to the other side's leader, which knows its own queue and answers at once. So
// no load reports cross regions, and a shift costs messages only when it is needed.
package yuccashift
