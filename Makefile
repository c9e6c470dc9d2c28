.PHONY: build test lint run fuzz

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...

# The director with the configuration of example/; start example/toy first.
run: build
	bin/tallyproxy --config example/config.json --settings deploy/director.star

fuzz:
	go test -fuzz FuzzParser -fuzztime 30s ./internal/front
	go test -fuzz FuzzReader -fuzztime 30s ./internal/back
	go test -fuzz FuzzRead -fuzztime 30s ./internal/feed
