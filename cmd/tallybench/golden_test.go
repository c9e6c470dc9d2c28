package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestFlagsGolden guards against changes of the names, defaults and permitted values of
// sub-commands and flags, which scripts use.
func TestFlagsGolden(t *testing.T) {
	parser, err := kong.New(&command{}, kong.Name("tallybench"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, sub := range parser.Model.Children {
		for _, f := range sub.Flags {
			fmt.Fprintf(&got, "%s --%s default=%q enum=%q short=%q hidden=%v type=%s negatable=%v\n", sub.Name, f.Name, f.Default, f.Enum, string(f.Short), f.Hidden,
				f.Target.Type(), f.Tag.Negatable != "")
		}
	}
	if got.String() != wantFlags {
		t.Errorf("flags are\n%s\nwant\n%s", got.String(), wantFlags)
	}
}

const wantFlags = `storm --clients default="2000" enum="" short="\x00" hidden=false type=int negatable=false
storm --within default="1s" enum="" short="\x00" hidden=false type=time.Duration negatable=false
storm --ignore default="0.25" enum="" short="\x00" hidden=false type=float64 negatable=false
storm --unmarked default="0" enum="" short="\x00" hidden=false type=float64 negatable=false
storm --silent default="0" enum="" short="\x00" hidden=false type=int negatable=false
storm --directors default="3" enum="" short="\x00" hidden=false type=int negatable=false
storm --boxes default="8" enum="" short="\x00" hidden=false type=int negatable=false
storm --cores default="1" enum="" short="\x00" hidden=false type=int negatable=false
storm --divided default="" enum="" short="\x00" hidden=true type=bool negatable=false
storm --load default="0.5" enum="" short="\x00" hidden=false type=float64 negatable=false
storm --day default="storm" enum="storm,morning,popular" short="\x00" hidden=false type=string negatable=false
storm --limit-sockets default="512" enum="" short="\x00" hidden=false type=int negatable=false
storm --limit-memory default="64" enum="" short="\x00" hidden=false type=int negatable=false
storm --trouble default="" enum="drain,purge,restart,roll,reload,die,second,slow,turnover,mute,spoil,reset,pause" short="\x00" hidden=false type=[]string negatable=false
storm --pause default="4s" enum="" short="\x00" hidden=false type=time.Duration negatable=false
storm --peers default="" enum="" short="\x00" hidden=false type=bool negatable=false
storm --guard default="on" enum="on,off,fixed" short="\x00" hidden=false type=string negatable=false
storm --seed default="1" enum="" short="\x00" hidden=false type=uint64 negatable=false
storm --duration default="30s" enum="" short="\x00" hidden=false type=time.Duration negatable=false
storm --retries default="12" enum="" short="\x00" hidden=false type=int negatable=false
storm --wait default="100ms" enum="" short="\x00" hidden=false type=time.Duration negatable=false
storm --plot default="" enum="" short="\x00" hidden=false type=string negatable=false
storm --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
storm --director default="" enum="" short="\x00" hidden=false type=string negatable=false
storm --verbose default="" enum="" short="v" hidden=false type=bool negatable=false
fleet --instances default="20,100,500" enum="" short="\x00" hidden=false type=[]int negatable=false
fleet --schedules default="100" enum="" short="\x00" hidden=false type=int negatable=false
fleet --loss default="0.05" enum="" short="\x00" hidden=false type=float64 negatable=false
fleet --twice default="0.05" enum="" short="\x00" hidden=false type=float64 negatable=false
fleet --deaths default="0.02" enum="" short="\x00" hidden=false type=float64 negatable=false
fleet --tool-dies default="0.3" enum="" short="\x00" hidden=false type=float64 negatable=false
fleet --cuts default="0.1" enum="" short="\x00" hidden=false type=float64 negatable=false
fleet --limit default="0" enum="" short="\x00" hidden=false type=int negatable=false
fleet --seed default="1" enum="" short="\x00" hidden=false type=uint64 negatable=false
fleet --only default="-1" enum="" short="\x00" hidden=false type=int negatable=false
fleet --steps default="0" enum="" short="\x00" hidden=false type=int negatable=false
fleet --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
peers --instances default="5" enum="" short="\x00" hidden=false type=[]int negatable=false
peers --faults default="seven" enum="none,oneway,halves,thirds,stop,restart,seven,zone,away,flap,twin,loss,liar,term,drawn" short="\x00" hidden=false type=[]string negatable=false
peers --simulated default="" enum="" short="\x00" hidden=false type=[]int negatable=false
peers --together default="" enum="" short="\x00" hidden=false type=[]int negatable=false
peers --slow default="1" enum="" short="\x00" hidden=false type=int negatable=false
peers --schedules default="1" enum="" short="\x00" hidden=false type=int negatable=false
peers --only default="-1" enum="" short="\x00" hidden=false type=int negatable=false
peers --schedule default="" enum="" short="\x00" hidden=false type=string negatable=false
peers --shrink default="" enum="" short="\x00" hidden=false type=bool negatable=false
peers --beside default="" enum="" short="\x00" hidden=false type=bool negatable=false
peers --seed default="1" enum="" short="\x00" hidden=false type=uint64 negatable=false
peers --boxes default="8" enum="" short="\x00" hidden=false type=int negatable=false
peers --clients default="200" enum="" short="\x00" hidden=false type=int negatable=false
peers --load default="0.4" enum="" short="\x00" hidden=false type=float64 negatable=false
peers --history default="" enum="" short="\x00" hidden=false type=bool negatable=false
peers --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
peers --director default="" enum="" short="\x00" hidden=false type=string negatable=false
peers --verbose default="" enum="" short="v" hidden=false type=bool negatable=false
start --directors default="40" enum="" short="\x00" hidden=false type=[]int negatable=false
start --faults default="away,event" enum="none,away,retry,hangs,half,event,events,seven,followers,halves,move,roll" short="\x00" hidden=false type=[]string negatable=false
start --phase default="2s" enum="" short="\x00" hidden=false type=time.Duration negatable=false
start --peers default="true" enum="" short="\x00" hidden=false type=bool negatable=true
start --beside default="true" enum="" short="\x00" hidden=false type=bool negatable=true
start --service default="0" enum="" short="\x00" hidden=false type=float64 negatable=false
start --lines default="0" enum="" short="\x00" hidden=false type=float64 negatable=false
start --patience default="500ms" enum="" short="\x00" hidden=false type=time.Duration negatable=false
start --simulated default="" enum="" short="\x00" hidden=false type=[]int negatable=false
start --boxes default="8" enum="" short="\x00" hidden=false type=int negatable=false
start --clients default="300" enum="" short="\x00" hidden=false type=int negatable=false
start --load default="0.4" enum="" short="\x00" hidden=false type=float64 negatable=false
start --seed default="1" enum="" short="\x00" hidden=false type=uint64 negatable=false
start --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
start --director default="" enum="" short="\x00" hidden=false type=string negatable=false
plan --depots default="10" enum="" short="\x00" hidden=false type=int negatable=false
plan --boxes default="170" enum="" short="\x00" hidden=false type=int negatable=false
plan --parents default="30" enum="" short="\x00" hidden=false type=int negatable=false
plan --jobs default="60" enum="" short="\x00" hidden=false type=int negatable=false
plan --demand default="0.5" enum="" short="\x00" hidden=false type=float64 negatable=false
plan --schedules default="20" enum="" short="\x00" hidden=false type=int negatable=false
plan --small default="200" enum="" short="\x00" hidden=false type=int negatable=false
plan --seed default="1" enum="" short="\x00" hidden=false type=uint64 negatable=false
plan --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
cores --cores default="1,2,4" enum="" short="\x00" hidden=false type=[]int negatable=false
cores --mix default="thumbnails,clips,picks" enum="" short="\x00" hidden=false type=[]string negatable=false
cores --seconds default="5s" enum="" short="\x00" hidden=false type=time.Duration negatable=false
cores --connections default="64" enum="" short="\x00" hidden=false type=int negatable=false
cores --depth default="16" enum="" short="\x00" hidden=false type=int negatable=false
cores --rate default="0" enum="" short="\x00" hidden=false type=float64 negatable=false
cores --division default="whole" enum="whole,divided,separate" short="\x00" hidden=false type=string negatable=false
cores --plain default="" enum="" short="\x00" hidden=false type=bool negatable=false
cores --boxes default="8" enum="" short="\x00" hidden=false type=int negatable=false
cores --profile default="" enum="" short="\x00" hidden=false type=string negatable=false
cores --json default="" enum="" short="\x00" hidden=false type=bool negatable=false
cores --plot default="" enum="" short="\x00" hidden=false type=string negatable=false
cores --director default="" enum="" short="\x00" hidden=false type=string negatable=false
`
