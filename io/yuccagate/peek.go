package yuccagate

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

// maxPeekBytes bounds what is looked at of a request before it is read. Heads that are longer are read at once.
const maxPeekBytes = 8 << 10

// peekHead waits for the first bytes on a connection and returns the request head that they begin with, without taking
// them from the socket. It returns nil if they hold no whole head, or one that takes more memory than an ordinary one.
func peekHead(conn net.Conn) *http.Request {
	arrived := peek(conn)
	text, _, whole := bytes.Cut(arrived, []byte("\r\n\r\n"))
	if !whole || yuccaspace.HeadMemory(yuccaid.Bytes(len(text)), bytes.Count(text, []byte("\n"))) > 0 {
		return nil
	}
	head, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(arrived)))
	if err != nil {
		return nil
	}
	return head
}

// peek waits for the first bytes on a connection and returns a copy of them. It returns nothing if the connection has ended
// or its read deadline has passed.
func peek(conn net.Conn) []byte {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	buf, count := make([]byte, maxPeekBytes), 0
	err = raw.Read(func(fd uintptr) bool {
		var err error
		count, _, err = unix.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN && err != unix.EINTR
	})
	if err != nil {
		return nil
	}
	return buf[:max(count, 0)]
}

// hasRoomFor reports whether there is memory for the first request on a new connection, as far as its head tells. It also
// reports true if the request would be answered without much memory.
//
// While many requests find no memory, one that is read gets an error, whereas one whose connection is closed unread can be
// sent to another daemon. Memory that is kept for urgent requests stays open to them, because their heads tell their rank.
func (gate *Gate) hasRoomFor(conn net.Conn) bool {
	table := gate.tables.Load()
	if table == nil || !gate.memoryShortage.isShort() {
		return true
	}
	head := peekHead(conn)
	if head == nil {
		return true
	}
	req := &callerRequest{gate: gate, table: table}
	if prob := req.identify(head); prob != nil {
		return true
	}
	body := max(head.ContentLength, 0)
	if limit := table.Config().Limits.Body; limit > 0 && body > int64(limit) {
		return true
	}
	return gate.memory.hasRoom(req.memoryRank(), yuccaspace.RequestOverhead+yuccaid.Bytes(body))
}
