// Package yuccahop sends HTTP/1.1 requests to targets and hands their answers back as they
// come, on connections that it keeps and uses again.
//
// What makes it different from net/http's client is that it says what is known of a
// request that failed, since that decides whether it may be sent again: an UnsentError
// means that no byte of it left, anything else that the target may have run it. It sends
// no request twice, and an answer that belongs to an earlier request is never taken for
// the one that is awaited.
package yuccahop
