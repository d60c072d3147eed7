package yuccalink_test

import (
	"context"
	"fmt"
	"net"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccalink"
	"yuccacleat/io/yuccawire"
)

func Example() {
	key := yuccaid.Key("the fleet's key")
	first := member("vm-1", listen())
	second := member("vm-2", listen())

	answer := func(conn *yuccalink.Conn) {
		defer conn.Close()
		if frame, err := conn.Receive(); err == nil {
			conn.Send(frame.Kind, "an answer to "+conn.Peer().VM)
		}
	}
	server := yuccalink.New(first.Member, key, first.listener, yuccalink.OnTraffic(answer))
	defer server.Close()
	client := yuccalink.New(second.Member, key, second.listener)
	defer client.Close()

	conn, err := client.Dial(context.Background(), first.Address)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer conn.Close()
	conn.Send(kindTest, "a question")
	frame, err := conn.Receive()
	var text string
	fmt.Println(err, frame.Decode(&text), text)
	// Output: <nil> <nil> an answer to vm-2
}

const kindTest yuccawire.Kind = 100

// place is a member and the listener at its address.
type place struct {
	yuccapeer.Member
	listener net.Listener
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

var nonces byte

func member(vm yuccaid.VM, listener net.Listener) place {
	nonces++
	return place{
		Member: yuccapeer.Member{
			VM: vm, Centre: "padova", Address: listener.Addr().String(),
			Incarnation: yuccaid.NewIncarnation(vm, [16]byte{nonces}),
		},
		listener: listener,
	}
}
