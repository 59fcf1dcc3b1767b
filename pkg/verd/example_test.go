package verd_test

import (
	"fmt"

	"lovagelink.example/lovagelink/pkg/verd"
)

func Example() {
	err := &verd.Error{Verdict: verd.NotRun, Place: "header Request-Id", Reason: "it is missing", Remedy: "send one"}
	fmt.Println(err)
	fmt.Println(verd.Of(err))
	fmt.Println(verd.Of(fmt.Errorf("some other failure")))
	// Output:
	// header Request-Id: it is missing; send one
	// not-run
	// may-have-run
}
