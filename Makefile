# The commands a newcomer needs; each one installs what is missing first.
JOBS ?= $(shell nproc)
BUILD := build/release
export LAGOONDECK_JOBS := $(JOBS)

.PHONY: once all packages build lint test demo bench bench-quick fleet capacity sanitize format proto clean

all: build

packages:
	misc/install_packages.sh

build: packages
	cmake --preset release > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

lint: build
	misc/lint.sh $(BUILD)

test: build lint
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)
	misc/known_red.sh $(BUILD)

demo: build
	misc/demo.sh $(BUILD)

bench: build
	bench/run_bench.sh $(BUILD) full

bench-quick: build
	bench/run_bench.sh $(BUILD) quick

fleet: build
	misc/fleet.sh $(BUILD)

once: build
	misc/once_test.sh $(BUILD)

capacity: build
	misc/capacity.sh $(BUILD)

sanitize: packages
	cmake --preset sanitize > /dev/null
	cmake --build build/sanitize -j $(JOBS)
	ctest --test-dir build/sanitize --output-on-failure -j $(JOBS)

format:
	git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' ':!proto' | sort -u | xargs clang-format -i

proto:
	cd proto && protoc --cpp_out=. peer.proto

clean:
	rm -rf build
