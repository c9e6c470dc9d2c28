// Command toy runs fakes of all the systems that a director connects to, for trying out a director:
// the three edges, the parent and the origin of example/config.json, and the command channel.
//
// The fake command channel accepts three additional HTTP calls: /purge?id=OBJECT, /kill?name=NODE
// and /start?name=NODE.
package main

import (
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"time"

	"tallyproxy/internal/fakes"
)

func main() {
	spec := fakes.DefaultSpec(3, 1)
	spec.ColdEdges, spec.Parents = false, 1
	spec.ContentTypes = []fakes.ContentType{{Name: "clip", LatencyObjective: 400 * time.Millisecond, Timeout: 5 * time.Second, PriorityWeight: 1,
		MeanTransfer: 20 * time.Millisecond, Sigma: 0.5, RequestShare: 1}}
	spec.Addresses = map[string]string{
		"box-0": "127.0.0.1:9001", "box-1": "127.0.0.1:9002", "box-2": "127.0.0.1:9003", "parent-0": "127.0.0.1:9004",
		"origin": "127.0.0.1:9005", "channel": "127.0.0.1:8500",
	}
	spec.OnAnswer = func(node string, fields map[string]string, answer string) {
		head := strings.Fields(answer)
		slog.Info("answered", "node", node, "asset", fields["asset"], "from", fields["from"], "oldest", fields["oldest"],
			"status", head[1], "fields", head[2])
	}
	w, err := fakes.New(spec)
	if err != nil {
		slog.Error("failed", "err", err)
		os.Exit(1)
	}
	w.ChannelMux.HandleFunc("/purge", func(_ http.ResponseWriter, r *http.Request) { w.Purge(r.FormValue("id"), 0) })
	w.ChannelMux.HandleFunc("/kill", func(_ http.ResponseWriter, r *http.Request) {
		if n := w.Node(r.FormValue("name")); n != nil {
			n.Kill()
			time.AfterFunc(2*time.Second, func() { n.Announce("removed") })
		}
	})
	w.ChannelMux.HandleFunc("/start", func(_ http.ResponseWriter, r *http.Request) {
		if n := w.Node(r.FormValue("name")); n != nil {
			if err := n.Restart(); err != nil {
				slog.Error("could not restart the node", "node", n.Name, "err", err)
			}
		}
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
	w.Close()
}
