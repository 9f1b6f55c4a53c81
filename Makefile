# Two commands do all: `make run` and `make test`.
BUILD ?= build
ASAN ?= build-asan
GENERATOR := -G Ninja
# Room of an instance under the sanitizers, which need 108 MB in the short soak.
SANITIZED_MB := 300

# Checkouts in different folders share what was compiled.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: all packages build server asan run test unit lint fuzz soak format clean

all: build

packages:
	@tools/install_packages.sh

build: packages
	@cmake -S . -B $(BUILD) $(GENERATOR) >/dev/null
	@cmake --build $(BUILD)

server: packages
	@cmake -S . -B $(BUILD) $(GENERATOR) >/dev/null
	@cmake --build $(BUILD) --target lovagegate

asan: packages
	@cmake -S . -B $(ASAN) $(GENERATOR) -DCMAKE_BUILD_TYPE=Debug \
	    -DCMAKE_CXX_FLAGS=-O1 -DLOVAGEGATE_SANITIZE=ON >/dev/null
	@cmake --build $(ASAN)

run: build
	@tools/run_site.sh $(if $(ONCE),--once)

unit: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

lint: server
	@tools/lint.sh $(BUILD)

# The tests themselves are built once, under the sanitizers.
test: server asan lint
	@cd $(ASAN) && ctest --output-on-failure -j 4
	@$(ASAN)/lovagegate-soak --program=$(ASAN)/lovagegate --seed=2 \
	    --most-mb=$(SANITIZED_MB) --logs=$(ASAN)/soak

fuzz: build
	@tools/fuzz.sh $(BUILD) $(or $(SEED),1) $(or $(SECONDS),60)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' \
	    | xargs clang-format -i

soak: build
	@$(BUILD)/lovagegate-soak --program=$(BUILD)/lovagegate \
	    --seed=$(or $(SEED),1) --seconds=$(or $(SECONDS),20) \
	    --instances=$(or $(INSTANCES),4) --logs=$(BUILD)/soak

clean:
	@rm -rf $(BUILD) $(ASAN)
