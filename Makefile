VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format capacity fuzz mutants

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/endivewind demo

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/python -m endivewind.tests

lint: $(STAMP)
	$(BIN)/ruff format --check endivewind examples
	$(BIN)/ruff check endivewind examples
	$(BIN)/mypy endivewind

format: $(STAMP)
	$(BIN)/ruff format endivewind examples
	$(BIN)/ruff check --fix endivewind examples

capacity: $(STAMP)
	$(BIN)/endivewind-bench control --sweep --check=docs/CAPACITY.md

SEED ?= 0
MINUTES ?= 1

# A longer run of the state machines than CI makes; the seed fixes its order.
fuzz: $(STAMP)
	$(BIN)/python -m endivewind.tests.fuzz $(SEED) $(MINUTES)

mutants: $(STAMP)
	$(BIN)/python -m endivewind.tests.mutants
