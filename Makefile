# make demo   start a small deployment on loopback, take a guided tour, stop it
# make test   build, unit tests with the race detector, bounded fuzzing, integration tests
# make up     start a small deployment and leave it running (addresses in .run/env)
# make down   stop just the processes that make up started
# make lint   formatter, vet and linters, pinned in tools/go.mod

SHELL := bash
.SHELLFLAGS := -euo pipefail -c
.PHONY: build lint format test unit fuzz integration up down demo measure capacity generate

build:
	go build -o bin/ ./cmd/...

format:
	cd tools && go build -o ../bin/tools/ tool
	git ls-files -co --exclude-standard '*.go' ':!:*.pb.go' | xargs -r bin/tools/goimports -local lacewingrock.example -w
	git ls-files -co --exclude-standard '*.go' ':!:*.pb.go' | xargs -r bin/tools/gofumpt -w

lint:
	.ci/lint

test: build unit fuzz integration

unit:
	.ci/tests unit

fuzz:
	.ci/fuzz

integration: build
	.ci/tests integration

up: build
	bin/lacewingstand up

down: build
	bin/lacewingstand down

demo: build
	bin/lacewingstand demo

measure: build
	bin/lacewingstand measure

capacity: build
	bin/lacewingstand capacity

# Generated code is committed; this runs only when a .proto file changes.
generate:
	cd generate/buf && go build -o ../../bin/generate/ tool
	cd generate/plugins && go build -o ../../bin/generate/ tool
	PATH="$$PWD/bin/generate:$$PATH" bin/generate/buf generate
