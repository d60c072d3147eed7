package yuccatarget_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

func ExampleClient_Run() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	eng := yuccastand.NewEngine(listener, yuccastand.WithRates(100_000, 5_000))
	defer func() { _ = eng.Close() }()
	cl := yuccatarget.New()
	defer cl.Close()

	call := yuccatarget.Call{
		ID:      "request-1",
		Target:  "engine-1",
		Address: eng.Address(),
		Body:    []byte(`{"prompt":"Summarise the rules","promptTokens":120,"answerTokens":3}`),
	}
	show := func(piece yuccatarget.Piece) error {
		fmt.Println(piece.Position, strings.TrimSpace(string(piece.Data)))
		return nil
	}
	end, err := cl.Run(context.Background(), call, show)
	fmt.Println(end.Pieces, end.Prompt, err)

	eng.SetFaults(yuccastand.Faults{Refuse: true, BackMillis: 2000})
	_, err = cl.Run(context.Background(), call, show)
	var refused *yuccatarget.RefusedError
	fmt.Println(errors.As(err, &refused), err)
	// Output:
	// 0 db578fdddad7
	// 1 32e9d63291d5
	// 2 42f68ebe98ba
	// 3 120 <nil>
	// true target engine-1 refused the request and did not run it: try another target, or this one after 2s
}
