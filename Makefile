# Development commands. `make test` is the whole check that CI runs.
GOLANGCI_LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# Packages run with this many processes at a time: timing tests need idle cores.
PACKAGES_AT_ONCE := 3

.PHONY: test lint format generate unit

test: lint unit

lint:
	go mod tidy -diff
	go vet ./...
	$(GOLANGCI_LINT) run ./...

# Tests that are listed in KNOWN-RED.txt are skipped and printed.
unit:
	@skip=$$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -); \
	if [ -n "$$skip" ]; then echo "skipped, see KNOWN-RED.txt: $$skip"; fi; \
	go test -race -count=1 -timeout 8m -p $(PACKAGES_AT_ONCE) $${skip:+-skip "$$skip"} ./...

format:
	$(GOLANGCI_LINT) fmt ./...

# Needs protoc with protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3; the build itself doesn't.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/peer.proto
	protoc --go_out=. --go_opt=paths=source_relative partition/snapshot.proto
