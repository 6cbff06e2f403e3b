GO ?= go

.PHONY: build demo measure bench test lint fuzz

build:
	$(GO) build -o bin/cherviltide ./cmd/cherviltide
	$(GO) build -o bin/cherviltide-bench ./cmd/cherviltide-bench

demo: build
	bin/cherviltide-bench demo --binary bin/cherviltide

measure: build
	bin/cherviltide-bench measure $(if $(CASE),--case $(CASE))

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./picker ./framer ./forwarder

test:
	$(GO) test ./...

lint:
	test -z "$$(gofmt -l .)"
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) tool revive -config revive.toml -set_exit_status ./...

fuzz:
	$(GO) test ./proxier -run '^$$' -fuzz FuzzMetadata -fuzztime 3s
	$(GO) test ./framer -run '^$$' -fuzz FuzzDecode -fuzztime 3s
	$(GO) test ./parser -run '^$$' -fuzz FuzzParse -fuzztime 3s
