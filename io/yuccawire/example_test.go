package yuccawire_test

import (
	"bytes"
	"fmt"

	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

func Example() {
	var conn bytes.Buffer
	sent := yuccapeer.Pulse{Sequence: 7, Version: 2}
	if err := yuccawire.Write(&conn, yuccawire.KindPulse, sent); err != nil {
		fmt.Println(err)
	}
	fmt.Println(conn.Len(), "bytes")

	frame, err := yuccawire.Read(&conn)
	if err != nil {
		fmt.Println(err)
	}
	var got yuccapeer.Pulse
	err = frame.Decode(&got)
	fmt.Println(frame.Kind, got, err)
	// Output:
	// 10 bytes
	// pulse {7 2 false} <nil>
}
