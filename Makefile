GO ?= go

.PHONY: soak build test demo up down faults scale measure slopes lint fuzz
build:
	$(GO) build -o bin/ ./cmd/... ./examples/...

# The tests, with the race detector; those of hostile clients last, apart from other load.
test:
	$(GO) test -race -count=1 -timeout 20m $(TESTFLAGS) $$($(GO) list ./... | grep -v /internal/hostile)
	$(GO) test -race -count=1 -timeout 20m $(TESTFLAGS) ./internal/hostile

# The main job: the example fleet answers and is checked.
demo: build
	bash scripts/demo

up: build
	bash scripts/up

down:
	bash scripts/down

lint:
	test -z "$$($(GO) tool gofumpt -l .)"
	$(GO) vet ./...
	$(GO) tool revive -set_exit_status ./...

# Failures in the example fleet, with every answer checked.
faults: build
	bash scripts/faults

# The decisions against baselines, in virtual time: a line of JSON for each run.
measure:
	$(GO) run ./cmd/thymemeasure -seeds 3

# How the daemon's costs grow, for docs/CAPACITY.md.
slopes:
	$(GO) test -run '^$$' -bench Slopes -benchtime 1x .

# What control costs each of 3, 10 and 30 daemons, as processes.
scale: build
	bash scripts/scale

# The fault soak: real processes, one seed, or up to LAST.
SEED ?= 1
SECONDS ?= 60
LAST ?= $(SEED)
soak:
	SOAK_SEED=$(SEED) SOAK_LAST=$(LAST) SOAK_SECONDS=$(SECONDS) $(GO) test -race -count=1 -timeout 0 -run 'TestSoak$$' ./platform/soak

# Readers of what other writers may have written, each against drawn bytes for a while;
# what breaks one is kept under testdata/ as a test, and the tests play what lies there.
# By hand: drawn bytes would make the verdict of CI vary.
FUZZ_FOR ?= 4s
fuzz:
	$(GO) test -run '^$$' -fuzz '^FuzzEntry$$' -fuzztime $(FUZZ_FOR) ./platform/replica
	$(GO) test -run '^$$' -fuzz '^FuzzNews$$' -fuzztime $(FUZZ_FOR) ./platform/replica
	$(GO) test -run '^$$' -fuzz '^FuzzDecode$$' -fuzztime $(FUZZ_FOR) ./platform/manifest
	$(GO) test -run '^$$' -fuzz '^FuzzWeights$$' -fuzztime $(FUZZ_FOR) ./platform/manifest
	$(GO) test -run '^$$' -fuzz '^FuzzSeconds$$' -fuzztime $(FUZZ_FOR) ./notice
