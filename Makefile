# Entry points; each installs and builds what it needs on a fresh Debian machine.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build test lint format demo faults capacity clean

all: build

packages:
	tools/install_packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja > $(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4
	$(BUILD)/magnoliadrum-faults --programs=$(BUILD) --cells=ci --jobs=$(CELL_JOBS)

demo: build
	$(BUILD)/magnoliadrum-demo --programs=$(BUILD) --run_folder=run/demo

# The fault matrix: CELLS is all, ci, or the start of the names of the cells to run.
CELLS ?= all
SEED ?= 1
CELL_JOBS ?= 3
faults: build
	$(BUILD)/magnoliadrum-faults --programs=$(BUILD) --cells=$(CELLS) --seed=$(SEED) --jobs=$(CELL_JOBS)

# Capacity slopes for docs/CAPACITY.md.
capacity: build
	$(BUILD)/magnoliadrum-capacity --programs=$(BUILD)

format: packages
	tools/check_format.sh --write

lint: build
	tools/check_format.sh
	tools/check_lint.sh $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD).cmake.log
