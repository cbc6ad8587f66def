# Entry points for newcomers; all of them install what is missing and build first.
BUILD ?= build

.PHONY: deps build test demo bench soak lint format sanitize fuzz clean

deps:
	@.ci/install_packages

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	@cmake --build $(BUILD)

test: build
	@.ci/known_red
	@ctest --test-dir $(BUILD) --output-on-failure -j 8 --exclude-regex "$$(.ci/known_red ctest)"

bench: build
	@$(BUILD)/bench/chicoryhead_bench --benchmark_min_time=0.2

# Short enough for CI; docs/soak.md tells how to run more seeds, and why the listed ones failed.
soak: build
	@$(BUILD)/tests/soak/chicoryhead-soak --break all --jobs 6 --folder $(BUILD)/soak \
		--program $(BUILD)/src/entry/chicoryhead-entry
	@$(BUILD)/tests/soak/chicoryhead-soak --first 1 --count 3 --seeds 144,149,340,2009 --require_occasions --jobs 6 --folder $(BUILD)/soak \
		--program $(BUILD)/src/entry/chicoryhead-entry

sanitize: deps
	@cmake -S . -B build-sanitize -G Ninja -DCHICORYHEAD_SANITIZE=ON -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	@cmake --build build-sanitize --target chicoryhead_tests
	@.ci/known_red catch | xargs -0 build-sanitize/tests/chicoryhead_tests

# A fixed number of inputs from a fixed seed for each target; docs/fuzzing.md tells how to run more.
FUZZ_RUNS ?= 20000
fuzz: deps
	@CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DCHICORYHEAD_FUZZ=ON -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	@cmake --build build-fuzz
	@tests/fuzz/run build-fuzz $(FUZZ_RUNS)

demo: build
	@$(BUILD)/standin/chicoryhead-demo --program $(BUILD)/src/entry/chicoryhead-entry --folder $(BUILD)/demo

lint: build
	@.ci/check_platform_names
	@.ci/lint $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

clean:
	@rm -rf $(BUILD) build-sanitize build-fuzz
