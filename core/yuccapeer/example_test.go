package yuccapeer_test

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

func Example() {
	now := time.Unix(0, 0)
	first := yuccapeer.Member{
		VM: "vm-1", Centre: "padova", Address: "10.0.0.1:7400",
		Incarnation: yuccaid.NewIncarnation("vm-1", [16]byte{1}),
	}
	peers := yuccapeer.New(first)
	peers.Tick(now)
	peers.SetListings(now, []yuccapeer.Listing{{VM: "vm-2", Centre: "padova", Address: "10.0.0.2:7400"}})
	fmt.Println("dial", peers.WantedConnections())

	second := yuccaid.NewIncarnation("vm-2", [16]byte{2})
	peers.HandleConnect(now, yuccapeer.Member{VM: "vm-2", Centre: "padova", Address: "10.0.0.2:7400", Incarnation: second})
	change := peers.HandleHeartbeat(now, yuccapeer.Heartbeat{
		Incarnation: second,
		Centre:      "padova",
		Address:     "10.0.0.2:7400",
		Sequence:    1,
	})
	fmt.Println("joined", change.Joined[0].VM)

	_, settled := peers.Leader("drafts")
	fmt.Println("settled", settled)
	// Output:
	// dial [10.0.0.2:7400]
	// joined vm-2
	// settled false
}
