# What the scripts of this folder share: the record, the end, and a fleet of three directors with an
# agent each, as in docs/tallyctl.md, "Setting it up from nothing". A script sets "here" to its folder
# and sources this file. Everything runs on loopback addresses and in a temporary folder.

trouble=${TROUBLE:-1}
root=$(cd "$here/../.." && pwd)
bin=$root/bin
for program in tallyproxy tallyctl review/standin review/client review/fleetview review/pause; do
	if [ ! -x "$bin/$program" ]; then
		echo "bin/$program is missing: run the build of the deploy file and review/build.sh" >&2
		exit 2
	fi
done
dir=$(mktemp -d) || exit 2
record=$here/record.txt
: >"$record" || exit 2
names="0 1 2"
started="" # ids of the processes that end last

# note writes a line to the record and to standard output.
note() { echo "$(date -u +%T.%6N) $*" | tee -a "$record"; }

# give_up ends the script where the case could not run.
give_up() {
	note "could not run: $*"
	finish 2
}

# await COMMAND... waits up to ten seconds until the command succeeds.
await() {
	local n
	for n in $(seq 100); do
		if "$@" >/dev/null 2>&1; then return 0; fi
		sleep 0.1
	done
	return 1
}

# view prints the fleet as fleetview does.
view() { "$bin/tallyctl" show --json 2>/dev/null | "$bin/review/fleetview"; }

# line NAME prints the line of a director.
line() { view | grep "^director $1 "; }

# value KEY reads a value out of such a line.
value() { sed -n "s/.* $1=\([^ ]*\).*/\1/p"; }

# all_up succeeds once all directors report their state.
all_up() { [ "$(view | grep -c '^director .* up=true ')" = 3 ]; }

# start_platform starts the cache nodes, the command channel and so on.
start_platform() {
	"$bin/review/standin" -dir "$dir" -directors 3 >"$dir/standin.log" 2>&1 &
	started="$started $!"
	await test -e "$dir/ready" || give_up "the stand-in did not start"
}

# write_fleet writes keys, inventory and scripts.
write_fleet() {
	cd "$dir" || give_up "no folder"
	{
		"$bin/tallyctl" keys init
		for n in $names; do "$bin/tallyctl" keys issue "a$n" --role agent; done
		"$bin/tallyctl" keys issue ana --role see,change
	} >"$dir/keys.log" 2>&1 || give_up "no keys"
	echo 'fleet(lease = seconds(3), authority = "keys")' >fleet.star
	for n in $names; do
		echo "agent(\"a$n\", address = \"$(cat "a$n.address")\", depot = \"depot-$n\")"
		echo "director(\"n$n\", agent = \"a$n\", config = \"n$n.json\", settings = \"n$n.star\", socket = \"n$n.sock\"," \
			"command = [\"$bin/tallyproxy\"])"
		echo "state(socket = \"$dir/n$n.sock\")" >"n$n.star"
	done >>fleet.star
	export TALLYCTL_INVENTORY=$dir/fleet.star TALLYCTL_CERT=$dir/ana.pem
}

# start_agent N starts an agent as the job "tallyctl agent aN 2>&1 | tee -a aN.log": the ids of the
# agent and of the reader of its log are kept in agent_N and reader_N.
start_agent() {
	rm -f "$dir/a$1.pipe"
	mkfifo "$dir/a$1.pipe" || give_up "no pipe"
	tee -a "$dir/a$1.log" <"$dir/a$1.pipe" >/dev/null 2>&1 &
	eval "reader_$1=$!"
	"$bin/tallyctl" agent "a$1" --cert "$dir/a$1.pem" >"$dir/a$1.pipe" 2>&1 &
	eval "agent_$1=$!"
}

# end_agent N [SIGNAL] ends that job: the agent and then the reader of its log.
end_agent() {
	local agent reader
	eval "agent=\$agent_$1 reader=\$reader_$1"
	kill "-${2:-TERM}" "$agent" 2>/dev/null
	wait "$agent" 2>/dev/null
	kill -TERM "$reader" 2>/dev/null
	wait "$reader" 2>/dev/null
}

# start_fleet starts the platform, the agents and, through them, the directors.
start_fleet() {
	start_platform
	write_fleet
	for n in $names; do start_agent "$n"; done
	await all_up || give_up "the fleet did not start"
	note "the fleet is up"
	view | tee -a "$record"
}

# directors prints the ids of this fleet's directors: the processes that were given files of its
# folder. Directors outlive their agents.
directors() {
	local file
	for file in /proc/[0-9]*/cmdline; do
		if tr '\0' ' ' <"$file" 2>/dev/null | grep -q "tallyproxy --config $dir/"; then
			echo "$file" | cut -d/ -f3
		fi
	done
}

# no_director succeeds once no director of this fleet runs.
no_director() { [ -z "$(directors)" ]; }

# finish CODE ends all processes that the script started and exits.
finish() {
	trap - EXIT INT TERM
	for n in $names; do end_agent "$n"; done
	for id in $(directors); do kill -TERM "$id" 2>/dev/null; done
	await no_director
	for id in $(directors); do kill -KILL "$id" 2>/dev/null; done
	for id in $started; do kill -CONT "$id" 2>/dev/null && kill -TERM "$id" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$dir"
	exit "$1"
}

trap 'finish 2' EXIT INT TERM
