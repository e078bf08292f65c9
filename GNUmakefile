GO ?= go
BIN ?= bin
SEED ?= 1
LENGTH ?= 600
COUNT ?= 10
FUZZ_TIME ?= 10s

.PHONY: all build test fmt lint generate check-generated fuzz soak fault-soak demo bench clean

all: build

build:
	$(GO) build -o $(BIN)/greengagetally .
	$(GO) build -o $(BIN)/greengagetally-lab ./cmd/greengagetally-lab

test:
	sh tools/test.sh

fmt:
	golangci-lint fmt

lint:
	golangci-lint run

generate:
	sh tools/generate.sh

check-generated:
	sh tools/check-generated.sh

demo: build
	$(BIN)/greengagetally-lab demo

# Runs the randomised tests for LENGTH seconds, one seed after the other from SEED on.
soak:
	sh tools/soak.sh $(SEED) $(LENGTH)

# Runs TestSoak, which injects faults into real processes, with COUNT seeds from SEED on.
fault-soak:
	GREENGAGETALLY_SOAK_SEED=$(SEED) GREENGAGETALLY_SOAK_COUNT=$(COUNT) $(GO) test -count 1 -v -timeout 60m -parallel 3 -run TestSoak ./platform

fuzz:
	sh tools/fuzz.sh $(FUZZ_TIME)

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

clean:
	rm -rf $(BIN)
