# Entry points. `make demo` and `make check` run all necessary steps themselves.
PACKAGES := libcpprest-dev libflatbuffers-dev flatbuffers-compiler prometheus-cpp-dev \
  libyaml-cpp-dev libcxxopts-dev libfmt-dev libgtest-dev libbenchmark-dev libxxhash-dev \
  libssl-dev zlib1g-dev libboost-dev libboost-system-dev librapidcheck-dev clang-14 libclang-rt-14-dev \
  gnuplot-nox ccache ninja-build cmake g++ clang-format clang-tidy curl python3-minimal
SOURCES = $(shell git ls-files '*.cc' '*.h' | grep -v /generated/)
TIDY_SOURCES = $(shell git ls-files 'lib/*.cc' 'tools/*.cc' 'platform/*.cc' | grep -v unittests)
JOBS ?= $(shell nproc)

.PHONY: all setup build test check check-asan check-tsan format format-check lint \
  demo bench matrix soak route-soak slopes fuzz clean

all: build

# Installs only missing packages, so that further calls are fast.
setup:
	@missing=""; for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then \
	  apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $$missing >/dev/null; \
	fi

build: setup
	cmake --preset default >/dev/null
	cmake --build --preset default -j $(JOBS)

test: build
	.ci/ctest build

format:
	clang-format -i $(SOURCES)

format-check: setup
	@clang-format --dry-run -Werror $(SOURCES)

lint: build
	@printf '%s\n' $(TIDY_SOURCES) | xargs -P $(JOBS) -n 1 clang-tidy -p build --quiet

check: setup format-check lint test fuzz

slopes: build
	build/bench/slopes

check-asan: setup
	cmake --preset asan >/dev/null && cmake --build --preset asan -j $(JOBS)
	.ci/ctest build-asan

check-tsan: setup
	cmake --preset tsan >/dev/null && cmake --build --preset tsan -j $(JOBS)
	.ci/ctest build-tsan

# A fixed number of runs with a fixed seed; takes about 10 s.
fuzz: setup
	cmake --preset fuzz >/dev/null && cmake --build --preset fuzz -j $(JOBS)
	fuzz/run.sh build-fuzz

clean:
	rm -rf build build-asan build-tsan build-fuzz

# Runs a surge against a deployment of separate processes and prints a table of
# the results.
demo: build
	build/bench/demo

# Measures the targets of section 8 of docs/design.md and their baselines; takes
# about 7 minutes. For one benchmark, run build/bench/bench --only <name>.
bench: build
	build/bench/bench --images docs/images

# The fault matrix: each step of a request, a configuration change and a drain,
# combined with each fault. The cells are divided among three deployments.
matrix: build
	build/test/matrix/matrix_tests --shards=3 --gtest_brief=1

# Route nodes under random faults with new seeds. The logs of failed seeds are
# written to the working directory.
route-soak: build
	build/test/soak/route_soak --seeds $(or $(SEEDS),10)

# Orders under random faults; counts duplicate executions and false not_run.
soak: build
	build/bench/soak
