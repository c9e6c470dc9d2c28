.PHONY: build test lint run fuzz long soak

HISTORIES ?= 5000# that a property test of `make long` draws, by the time of day
SEEDS ?= 101-160# of `make soak`, from-to

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -p 1 -timeout 20m ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run ./...

# The director with the configuration of example/; start example/toy first.
run: build
	bin/tallyproxy --config example/config.json --settings deploy/director.star

# The long forms of what CI plays for seconds: faults between directors, for as long as they are meant to last.
long: build
	@echo "TestRelayDelegates plays 300 directors here, which starve each other on six cores; 40 (make test) and 100 (tallybench start) don't."
	@echo "300 and more are played in simulated time: tallybench start --simulated. docs/results.md has the figures of both."
	TALLYPROXY_LONG=1 go test -timeout 3h -run 'TestFaults|TestRandomSchedules|TestRelayDelegates' ./internal/faulttest
	bin/tallybench peers --simulated 5,20 --faults drawn --schedules 5000
	RAPID_CHECKS=$(HISTORIES) TALLYPROXY_LONG=1 go test -count=1 -timeout 3h ./backoff ./dedup ./gossip ./maintenance ./membership ./overload ./relays ./rollout \
		./shard ./stall ./timerwheel

# TestSoak over many seeds, by hand; a seed is a schedule of restarts, signals and troubles.
soak:
	TALLYPROXY_SOAK_SEEDS=$(SEEDS) go test -race -count=1 -timeout 3h -run '^TestSoak$$' -v ./internal/faulttest

fuzz:
	go test -fuzz FuzzParser -fuzztime 30s ./internal/downstream
	go test -fuzz FuzzParser -fuzztime 30s ./internal/upstream
	go test -fuzz FuzzRead -fuzztime 30s ./internal/discovery
