// Command tallyproxy is the director: it takes downloads from clients and pulls them from cache nodes.
package main

import (
	"os"

	"tallyproxy/internal/serve"
)

func main() { os.Exit(serve.Main(os.Args[1:])) }
