BUILD ?= build
JOBS ?= $(shell nproc)
INSTALL_STAMP := $(BUILD)/.packages

.PHONY: all install build demo test soak regression lint format generate slopes sanitize races

all: build

# Installs the declared packages once; an unprivileged user installs them by hand.
install: $(INSTALL_STAMP)

$(INSTALL_STAMP): .ci/packages.txt
	.ci/install-packages
	@mkdir -p $(BUILD)
	@touch $@

build: install
	cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) > $(BUILD)/configure.log || (cat $(BUILD)/configure.log; false)
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	samples/demo.sh $(BUILD)

# Passes over the tests of KNOWN-RED.txt and prints them.
test: build
	.ci/tests $(BUILD)

# Fifty seeds of faults on a site's processes, about ten seconds each; SOAK="SEED SEEDS SECONDS".
SOAK ?= 1 50 8
soak: build
	$(BUILD)/site_soak $(SOAK)

# The sites that regressions are looked for on; docs/design/limits.md names them and says why.
# FLEETBENCH is the platform's bench, SITES the folder of its site files.
REGRESSION_SITES := further/umurage-kigali further-grown/umurage-kigali-grown large/orosi-casks-large
regression:
	@for site in $(REGRESSION_SITES); do \
	    $(FLEETBENCH) score $(SITES)/$$site.toml --jobs 3 --why "regression run" || exit 1; \
	done

lint: build
	.ci/lint $(BUILD)

format:
	git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^gen/' | xargs clang-format-14 -i

# Run after a change of idl/peer.thrift; its output is committed.
generate:
	thrift --gen cpp:no_skeleton -out gen idl/peer.thrift

slopes: build
	bench/slopes.sh $(BUILD)

sanitize:
	$(MAKE) test BUILD=build-sanitize CMAKE_FLAGS="-DNUTMEGTIDE_SANITIZE=address,undefined"

# The thread sanitizer over the adapters and the processes; a race ends a process with its exit code.
RACES := TSAN_OPTIONS="suppressions=$(CURDIR)/.ci/thread-suppressions.txt log_path=$(CURDIR)/build-thread/race"
races:
	$(MAKE) build BUILD=build-thread CMAKE_FLAGS="-DNUTMEGTIDE_SANITIZE=thread"
	rm -f build-thread/race.*
	$(RACES) build-thread/unit_tests -sf="*/serve/*,*/standin/*,*/events/*"
	$(RACES) build-thread/process_tests
	@if ls build-thread/race.* > /dev/null 2>&1; then cat build-thread/race.*; false; fi
