# Commands of the workspace. "make help" lists them.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core policy models platform wire daemon fleet cli standins bench
SOURCE_DIRS = $(foreach p,$(PACKAGES),packages/$(p)/src) platform/src platform/soak/src
STAMP := $(VENV)/.stamp
SOURCES := packages platform

.PHONY: help setup schemas test unit format lint types doctest models bench soak demo lock
.NOTPARALLEL:

help:
	@echo "make demo    run four daemons and the stand-ins, check the counts"
	@echo "make test    run all tests"
	@echo "make check   run formatter, linter, type check and doctests"
	@echo "make models  check the models of the core protocols"
	@echo "make bench   run the benchmarks, write out/bench.json"
	@echo "make soak    run the fleet daemon under random faults"
	@echo "make schemas write the JSON schemas under docs/schemas"
	@echo "make lock    pin the dependencies again"

setup: $(STAMP)

$(STAMP): constraints.txt Makefile $(wildcard packages/*/pyproject.toml) platform/pyproject.toml platform/soak/pyproject.toml
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    --require-hashes -r constraints.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
	    --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p)) \
	    -e platform -e platform/soak
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest
	cd platform && ../$(BIN)/python -m pytest
	cd platform/soak && ../../$(BIN)/python -m pytest

check: setup format lint types doctest

format: setup
	$(BIN)/ruff format --check $(SOURCES)

lint: setup
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

types: setup
	$(BIN)/mypy $(SOURCE_DIRS)

doctest: setup
	$(BIN)/python -m pytest --doctest-modules $(SOURCE_DIRS)

models: setup
	$(BIN)/python -m oriolestand_bench.models

bench: setup
	$(BIN)/python -m oriolestand_bench

# The seeds that once failed, then new ones.
soak: setup
	$(BIN)/python -m oriolestand_soak --failed --fresh 5
	$(BIN)/python -m oriolestand_soak --slow --fresh 5

demo: setup
	$(BIN)/python -m oriolestand_standins.demo

schemas: setup
	$(BIN)/python -m oriolestand_models docs/schemas

# Hashes come from the registry that pip is set up with; no address is kept.
lock: setup
	$(BIN)/pip install --quiet uv
	$(BIN)/uv pip compile --quiet --generate-hashes --no-header \
	    --no-emit-index-url --no-annotate --universal \
	    --python-version 3.11 requirements.in -o constraints.txt
