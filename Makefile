# Development commands. Python 3.11 and make are all that must be installed.

PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SEED ?= 1
PACKAGES := packages/common packages/daemon packages/cli packages/dev
SOURCES := $(foreach package,$(PACKAGES),$(package)/src)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES)))
export PYTHONHASHSEED := 0

.PHONY: install generate format lint test demo faults soak site-soak bench report measure-hop slopes

$(VENV)/installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
	    --constraint constraints.txt setuptools \
	    $(addprefix --editable ,$(PACKAGES))
	touch $@

install: $(VENV)/installed

generate: install
	$(BIN)/python -m bamboosill_dev.generate

format: install
	$(BIN)/python -m ruff format packages platform
	$(BIN)/python -m ruff check --fix packages platform

lint: install
	$(BIN)/python -m ruff format --check packages platform
	$(BIN)/python -m ruff check packages platform
	$(BIN)/python -m mypy packages/*/src
	$(BIN)/python -m mypy platform/*.py
	$(BIN)/python -m bamboosill_dev.generate --check

test: lint
	$(BIN)/python -m pytest packages -n 6 -q

demo: install
	$(BIN)/python -m bamboosill_dev.demo

faults: install
	$(BIN)/python -m bamboosill_dev.faults --seed $(SEED)

soak: install
	$(BIN)/python -m bamboosill_dev.fleetsoak --seed $(SEED)

site-soak: install
	$(BIN)/python -m bamboosill_dev.fleetsoak --site --seed $(SEED)

bench: install
	mkdir -p out
	$(BIN)/python -m bamboosill_dev.bench --seed $(SEED) | tee out/bench.txt

report: install
	$(BIN)/python -m bamboosill_dev.report out/bench.txt out/bench.html

measure-hop: install
	$(BIN)/python -m bamboosill_dev.load hop

slopes: install
	$(BIN)/python -m bamboosill_dev.slopes
