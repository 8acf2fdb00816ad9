VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
DEPLOYMENT ?= hanul
SECONDS ?= 600
# Number of soak runs with DEPLOYMENT=platform; each run uses the next seed.
RUNS ?= 10
# pytest-xdist workers for the tests that start no real processes.
WORKERS ?= 3
PACKAGES := core wire store daemon relay cli testbed
EDITABLE := $(foreach name,$(PACKAGES),-e packages/vanillapitch-$(name)) -e platform
STAMP := $(VENV)/.installed

.PHONY: demo test check format bench slopes soak generate clean

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --no-build-isolation --constraint constraints.txt \
		$(EDITABLE) pytest pytest-xdist hypothesis ruff matplotlib
	touch $(STAMP)

demo: $(STAMP)
ifeq ($(DEPLOYMENT),platform)
	$(BIN)/python -m vanillapitch_testbed.platform_demo
else
	$(BIN)/python -m vanillapitch_testbed.demo --deployment $(DEPLOYMENT)
endif

# Tests that start real processes measure times, so they run sequentially.
test: $(STAMP)
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadfile -m "not integration" \
		packages platform
	$(BIN)/python -m pytest -m integration packages
	$(BIN)/python -m pytest tests

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m vanillapitch_testbed.bench --out build/bench.json

slopes: $(STAMP)
	$(BIN)/python -m vanillapitch_testbed.slopes --out build/slopes.json

soak: $(STAMP)
ifeq ($(DEPLOYMENT),platform)
	$(BIN)/python -m vanillapitch_testbed.platform_soak --runs $(RUNS) \
		--logs build/soak $(if $(SEED),--seed $(SEED))
else
	$(BIN)/python -m vanillapitch_testbed.soak --seconds $(SECONDS) \
		$(if $(SEED),--seed $(SEED))
endif

# Requires thrift-compiler 0.17. The generated code is committed.
generate:
	cd packages/vanillapitch-wire && for file in idl/*.thrift; do \
		thrift --gen py:slots,package_prefix=vanillapitch_wire._gen. \
			-out src/vanillapitch_wire/_gen $$file; done
	rm -f packages/vanillapitch-wire/src/vanillapitch_wire/_gen/*/*-remote

clean:
	rm -rf $(VENV) build
