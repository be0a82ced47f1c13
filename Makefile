.PHONY: soak soak-smoke build test lint fuzz smoke demo chaos scale measure bench

build:
	go build -o bin/ ./cmd/woodworks ./cmd/woodworks-lab

# All tests, with the race detector.
test:
	go test -race -timeout 20m ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Each fuzz target for a fixed number of inputs.
FUZZ ?= 20000x
fuzz:
	go test -run '^$$' -fuzz FuzzCompile -fuzztime $(FUZZ) ./internal/policy
	go test -run '^$$' -fuzz FuzzParse$$ -fuzztime $(FUZZ) ./internal/settings
	go test -run '^$$' -fuzz FuzzParseCursor -fuzztime $(FUZZ) ./internal/rollout
	go test -run '^$$' -fuzz FuzzDecodeFrame -fuzztime $(FUZZ) ./internal/backend/engine
	go test -run '^$$' -fuzz FuzzDecodeStrict -fuzztime $(FUZZ) ./internal/gateway
	go test -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZ) ./internal/catalog
	go test -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZ) ./internal/batch
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZ) ./internal/explain
	go test -run '^$$' -fuzz FuzzNext -fuzztime $(FUZZ) ./internal/eventstream
	go test -run '^$$' -fuzz FuzzDecode -fuzztime $(FUZZ) ./platform

# A short run of real processes that asserts safety only.
smoke: build
	./bin/woodworks-lab chaos --seed 1 --duration 12s --quiet --safety-only

# A floor of separate processes on loopback, once through its paces.
demo: build
	./bin/woodworks-lab demo

# The same floor under a seeded schedule of faults.
SEED ?= 1
DURATION ?= 40s
SITE ?= operator
chaos: build
	./bin/woodworks-lab chaos --seed $(SEED) --duration $(DURATION) --site $(SITE)

# Real daemons on the platform's stand-ins under faults from outside.
soak:
	go build -o target/ ./cmd/woodworks ./cmd/woodworks-soak
	./target/woodworks-soak --seed $(SEED) --duration $(DURATION)

# A short soak with a fixed seed that asserts safety only.
soak-smoke:
	go build -o target/ ./cmd/woodworks ./cmd/woodworks-soak
	./target/woodworks-soak --seed 1 --duration 8s --safety-only

# What the control part of a daemon costs as the floor grows.
scale: build
	./bin/woodworks-lab scale --size 10 --size 25 --size 50 --size 100 --size 200 --size 300

# Ways of scheduling compared in virtual time.
RUNS ?= 5
measure: build
	./bin/woodworks-lab measure --seed $(SEED) --runs $(RUNS) --plots out/measure

bench:
	go test -run '^$$' -bench . -benchmem ./...
