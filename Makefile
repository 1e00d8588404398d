# Entry points; each installs and builds what it needs on a fresh Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test lint format demo faults clean

all: build

packages:
	tools/install_packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure

format: packages
	tools/check_format.sh --write

lint: build
	tools/check_format.sh
	tools/check_lint.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD).cmake.log
