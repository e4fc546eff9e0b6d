# Targets for building, running and testing agatewinch. Only Go, gcc and make are needed.
GO ?= go
export CGO_ENABLED = 1
BINARIES = agatewinch-gate agatewinch-scheduler agatewinchctl agatewinch-standin agatewinch-bench
# The race detector slows the tests down; RACE= disables it.
RACE ?= -race
SEED ?= 1
# N is the number of seeds that a soak run covers. soak tests gates and schedulers, soak-hosts
# entry hosts.
N ?= 20

.PHONY: build quickstart test lint bench faults soak soak-hosts capacity clean

build:
	@mkdir -p bin
	$(GO) build -ldflags '-linkmode external' -o bin/ $(addprefix ./cmd/,$(BINARIES))

quickstart: build
	./scripts/quickstart.sh

# The tests of test/hostile bound the memory of a process under load; they run after all others.
test: build
	$(GO) test $(RACE) -count=1 -timeout 540s $$($(GO) list ./... | grep -v /test/hostile$$)
	$(GO) test -count=1 -timeout 300s ./test/hostile

lint:
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

bench: build
	./scripts/bench.sh

faults: build
	$(GO) test ./test/faults -count=1 -timeout 540s -run TestSeed -seed $(SEED) -v

soak: build
	$(GO) test ./test/faults -count=1 -timeout 0 -run TestSoak -soak $(N) -v

soak-hosts:
	$(GO) test ./test/soak -count=1 -timeout 0 -args -seed $(SEED) -seeds $(N)

capacity: build
	./scripts/capacity.sh

clean:
	rm -rf bin build
