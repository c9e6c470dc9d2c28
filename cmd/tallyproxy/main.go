// Command tallyproxy is the director. It accepts requests from clients and routes them to cache
// nodes.
package main

import (
	"os"

	"tallyproxy/internal/server"
)

func main() { os.Exit(server.Main(os.Args[1:])) }
