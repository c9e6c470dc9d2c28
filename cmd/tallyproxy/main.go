// Command tallyproxy is the director: it takes downloads from clients and pulls them from cache nodes.
package main

import (
	"os"

	"tallyproxy/internal/server"
)

func main() { os.Exit(server.Main(os.Args[1:])) }
