// Command simadapter connects the routing policy to the bench's simulator. It reads the simulator's
// messages from standard input and writes the decisions to standard output.
package main

import (
	"fmt"
	"os"

	"tallyproxy/internal/simadapter"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

func main() {
	newPolicy := func(s policy.Settings) policy.Policy { return routing.New(s, routing.Options{}) }
	if err := simadapter.Serve(os.Stdin, os.Stdout, newPolicy); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
