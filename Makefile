# Shortcuts for the CMake build. BUILD is the build directory.
BUILD ?= build
SEED ?= 1
MEASURE ?= all
DEPLOYMENT ?= all
BIN = $(BUILD)/bin

.PHONY: all build install-packages test lint format demo bench load chaos \
	sanitize fuzz proto

all: build

install-packages:
	@.ci/install

build:
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: install-packages build
	@.ci/test $(BUILD)

lint: install-packages build
	@.ci/lint $(BUILD)

format:
	@git ls-files '*.c' '*.h' | grep -v '\.pb-c\.' | xargs clang-format -i

# Runs the tests under the address and undefined-behaviour sanitizers.
sanitize: install-packages
	@cmake -S . -B build-asan -G Ninja -DLACEWING_SANITIZE=ON >/dev/null
	@cmake --build build-asan
	@.ci/test build-asan

demo: install-packages build
	@$(BIN)/lacewing-demo $(BIN)

bench: install-packages build
	@$(BIN)/lacewing-bench --seed $(SEED) --measure $(MEASURE) \
		--deployment $(DEPLOYMENT)

load: install-packages build
	@tests/load.sh $(BIN)

chaos: install-packages build
	@$(BIN)/lacewing-chaos --seed $(SEED) --bin $(BIN)

# Fuzzes each decoder for FUZZ_SECONDS.
FUZZ_SECONDS ?= 20
fuzz: install-packages
	@CC=clang cmake -S . -B build-fuzz -G Ninja -DLACEWING_FUZZ=ON >/dev/null
	@cmake --build build-fuzz --target fuzz_frames fuzz_events fuzz_edits \
		fuzz_config fuzz_http fuzz_platform fuzz_stream fuzz_order
	@for name in frames events edits config http platform stream order; do \
		build-fuzz/bin/fuzz_$$name -max_total_time=$(FUZZ_SECONDS) \
			-print_final_stats=1 -verbosity=0 || exit 1; done

# Regenerates the committed code of the protocol between instances.
proto:
	protoc-c --c_out=packages/wire/src -Ipackages/wire/proto \
		packages/wire/proto/lacewing.proto
