// Command tallyproxy is the director: it takes requests from clients and has cache nodes answer them.
package main

import (
	"os"

	"tallyproxy/internal/server"
)

func main() { os.Exit(server.Main(os.Args[1:])) }
