# Development commands. `make test` is the whole check that CI runs.
GOLANGCI_LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
# Number of packages tested at the same time. Timing tests need idle cores.
PACKAGES_AT_ONCE := 3
# Packages whose tests run mostly in synctest bubbles, which use one processor with the race detector, see bubble.Test.
BUBBLE_PACKAGES := ./bubble ./grant ./httplimit ./ingress ./ownership ./planner ./policy ./sidecar ./store

# Package whose tests start crowds of callers and watch the memory of processes. They run alone, without the race detector.
CROWD_PACKAGE := ./platform/crowd

.PHONY: test lint format generate unit parallel crowd

test: lint unit parallel crowd

lint:
	go mod tidy -diff
	go vet ./...
	$(GOLANGCI_LINT) run ./...

# Skips the tests that KNOWN-RED.txt lists, and prints their names.
unit:
	@skip=$$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -); \
	if [ -n "$$skip" ]; then echo "skipped, see KNOWN-RED.txt: $$skip"; fi; \
	go test -race -count=1 -timeout 8m -p $(PACKAGES_AT_ONCE) $${skip:+-skip "$$skip"} \
	$$(go list ./... | grep -v '/platform/crowd$$')

# Skips the tests that KNOWN-RED.txt lists.
crowd:
	@skip=$$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -); \
	go test -count=1 -timeout 8m $${skip:+-skip "$$skip"} $(CROWD_PACKAGE)

# Runs the goroutines of bubbles on all processors, without the race detector.
parallel:
	@skip=$$(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -); \
	go test -count=1 -timeout 8m -p $(PACKAGES_AT_ONCE) $${skip:+-skip "$$skip"} $(BUBBLE_PACKAGES)

format:
	$(GOLANGCI_LINT) fmt ./...

# Needs protoc with protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3; the other targets don't.
generate:
	protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer/peer.proto
	protoc --go_out=. --go_opt=paths=source_relative partition/snapshot.proto
