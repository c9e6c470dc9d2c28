# Sourced by the run.sh of the cases of the second review. It starts the driver of a case, which is
# built by build-2.sh, and ends what is left of it.

# play NUMBER runs the driver from the root with a private temporary folder. The driver starts the
# project's programs and ends them. What it leaves behind, if it is ended itself, is in its own
# process group or named in the file pids.
play() {
	here=$(cd "$(dirname "$0")" && pwd)
	cd "$here/../.." || exit 2
	driver=bin/review2/$1
	if [ ! -x "$driver" ] || [ ! -x bin/tallyproxy ]; then
		echo "run the build of the deploy file and review/build-2.sh first"
		exit 2
	fi
	dir=$(mktemp -d) || exit 2
	set -m
	TMPDIR=$dir "$driver" "$dir" "$here/record.txt" &
	pid=$!
	(sleep 115 && kill -KILL -- "-$pid") >/dev/null 2>&1 &
	watchdog=$!
	disown "$watchdog"
	set +m
	trap 'kill -KILL -- "-$watchdog" "-$pid" $(cat "$dir/pids" 2>/dev/null) 2>/dev/null; rm -rf "$dir"' EXIT
	trap 'exit 2' INT TERM
	wait "$pid"
	code=$?
	case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
}
