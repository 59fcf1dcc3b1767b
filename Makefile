.PHONY: demo test bench lint build

build:
	go build -o lovagelink ./cmd/lovagelink

demo:
	go run ./cmd/lovagelink demo

lint:
	@out="$$(go tool gofumpt -l .)"; if [ -n "$$out" ]; then echo "gofumpt: $$out"; exit 1; fi
	go tool revive -config revive.toml -set_exit_status ./...
	go vet ./...

test: lint
	go run ./internal/redrun ./...

bench:
	go test -run '^$$' -bench . -benchtime 1s ./...
