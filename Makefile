.PHONY: build test lint demo chaos

build:
	go build -o bin/ ./cmd/woodworks ./cmd/woodworks-lab

# All tests; the race detector on the packages without processes.
test: build
	go test -race -timeout 20m ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# A floor of separate processes on loopback, once through its paces.
demo: build
	./bin/woodworks-lab demo

# The same floor under a seeded schedule of faults.
SEED ?= 1
DURATION ?= 40s
SITE ?= operator
chaos: build
	./bin/woodworks-lab chaos --seed $(SEED) --duration $(DURATION) --site $(SITE)
