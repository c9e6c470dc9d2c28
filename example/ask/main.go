// Command ask requests one object from a director and prints the answer.
package main

import (
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"time"

	"github.com/tidwall/redcon"
)

func main() {
	addr := flag.String("director", "127.0.0.1:8443", "address of the director")
	kind := flag.String("type", "clip", "content type")
	flag.Parse()
	if flag.NArg() != 1 {
		log.Fatal("usage: ask [-director ADDRESS] [-type TYPE] OBJECT")
	}
	nc, err := net.Dial("tcp", *addr)
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = nc.Close() }() // nothing is buffered, so an error loses no data
	start := time.Now()
	if err := nc.SetDeadline(start.Add(5 * time.Second)); err != nil {
		log.Fatal(err)
	}
	fields := fmt.Sprintf("txn=%016x,limit=3000,item=%s,n=0,shard=0", rand.Uint64(), flag.Arg(0))
	out := redcon.AppendArray(nil, 4)
	for _, arg := range []string{"ASK", "1", *kind, fields} {
		out = redcon.AppendBulkString(out, arg)
	}
	if _, err := nc.Write(out); err != nil {
		log.Fatal(err)
	}
	for in, buf := []byte(nil), make([]byte, 1<<16); ; {
		n, err := nc.Read(buf)
		if err != nil {
			log.Fatal(err)
		}
		in = append(in, buf[:n]...)
		complete, words, _, _, err := redcon.ReadNextCommand(in, nil)
		if err != nil {
			log.Fatal(err)
		}
		if complete {
			fmt.Printf("%s in %v: %q %q\n", words[1], time.Since(start).Round(100*time.Microsecond), words[2], words[3])
			return
		}
	}
}
