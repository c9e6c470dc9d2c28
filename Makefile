.PHONY: build test lint run fuzz long soak

# Number of histories that each property test of `make long` draws, from a seed that depends on the
# time of day.
HISTORIES ?= 5000
# First and last seed of `make soak`.
SEEDS ?= 101-160

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -p 1 -timeout 20m ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

# Runs a director with the configuration in example/. Start example/toy first.
run: build
	bin/tallyproxy --config example/config.json --settings deploy/director.star

# Runs the long forms of tests that CI runs for seconds: faults between directors last for their
# full duration.
long: build
	@echo "TestRelayDelegates runs 300 directors here, which starve each other of CPU time on six"
	@echo "cores; the 40 of 'make test' and the 100 of 'tallybench start' do not."
	@echo "'tallybench start --simulated' runs 300 and more in simulated time."
	@echo "docs/results.md has the figures of both."
	TALLYPROXY_LONG=1 go test -timeout 3h -run 'TestFaults|TestRandomSchedules|TestRelayDelegates' ./internal/faulttest
	bin/tallybench peers --simulated 5,20 --faults drawn --schedules 5000
	RAPID_CHECKS=$(HISTORIES) TALLYPROXY_LONG=1 go test -count=1 -timeout 3h ./backoff ./dedup ./gossip ./maintenance ./membership ./overload ./relays ./rollout \
		./shard ./stall ./timerwheel

# Runs TestSoak with many seeds; it is meant to be started by hand. A seed determines a schedule of
# restarts, signals and other faults.
soak:
	TALLYPROXY_SOAK_SEEDS=$(SEEDS) go test -race -count=1 -timeout 3h -run '^TestSoak$$' -v ./internal/faulttest

fuzz:
	go test -fuzz FuzzParser -fuzztime 30s ./internal/downstream
	go test -fuzz FuzzParser -fuzztime 30s ./internal/upstream
	go test -fuzz FuzzRead -fuzztime 30s ./internal/discovery
