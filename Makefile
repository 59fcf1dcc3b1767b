.PHONY: build demo lint test bench

# Tests that KNOWN-RED.txt lists are passed over and printed.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)

build:
	go build -o lovagelink ./cmd/lovagelink

demo:
	go run ./cmd/lovagelink demo

lint:
	@out="$$(go tool gofumpt -l .)"; if [ -n "$$out" ]; then echo "not formatted by gofumpt: $$out"; exit 1; fi
	go tool revive -config revive.toml -set_exit_status ./...
	go vet ./...

test: lint
	@cat KNOWN-RED.txt
	go test -race -timeout 30m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

bench:
	go test -run '^$$' -bench . -benchtime 1s -timeout 30m ./...
