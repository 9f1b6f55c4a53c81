# Two commands do all: `make run` and `make test`.
BUILD ?= build
ASAN ?= build-asan
GENERATOR := -G Ninja

.PHONY: all packages build asan run test unit lint fuzz format clean

all: build

packages:
	@tools/install_packages.sh

build: packages
	@cmake -S . -B $(BUILD) $(GENERATOR) >/dev/null
	@cmake --build $(BUILD)

asan: packages
	@cmake -S . -B $(ASAN) $(GENERATOR) -DCMAKE_BUILD_TYPE=Debug \
	    -DCMAKE_CXX_FLAGS=-O1 -DLOVAGEGATE_SANITIZE=ON >/dev/null
	@cmake --build $(ASAN)

run: build
	@tools/run_site.sh $(if $(ONCE),--once)

unit: build
	@cd $(BUILD) && ctest --output-on-failure -j 4

lint: build
	@tools/lint.sh $(BUILD)

test: build asan lint
	@cd $(ASAN) && ctest --output-on-failure -j 4

fuzz: build
	@tools/fuzz.sh $(BUILD) $(or $(SEED),1) $(or $(SECONDS),60)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.hpp' \
	    | xargs clang-format -i

clean:
	@rm -rf $(BUILD) $(ASAN)
