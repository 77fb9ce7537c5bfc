# The targets all, build, test, demo, bench and lint first install missing packages and build.
BUILD := build
JOBS ?= 8

.PHONY: all packages build test demo bench lint
all: build

packages:
	.ci/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	tests/run $(BUILD)

demo: build
	$(BUILD)/rig demo --binary $(BUILD)/agatepost

bench: build
	$(BUILD)/bench

lint: build
	.ci/lint $(BUILD)
