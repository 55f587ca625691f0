BUILD ?= build
JOBS ?= $(shell nproc)
INSTALL_STAMP := $(BUILD)/.packages

.PHONY: all install build demo test lint format generate slopes sanitize

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
