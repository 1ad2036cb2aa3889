# Each target creates the virtual environment if needed; only Python 3.11, pip
# and make must be installed.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
SOURCES := carobmoor stand_ins bench demo tools tests proofs soak

.PHONY: demo test soak check bench format lock clean

$(VENV)/ready: pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --constraint requirements.lock --editable '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(RUN) -m demo

test: check
	$(RUN) -m tools.run_tests

check: $(VENV)/ready
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)
	$(VENV)/bin/mypy
	$(VENV)/bin/lint-imports

# Plays every scenario, then random ones, then the soak of the platform's node.
# SEEDS is the number of seeds, FIRST the first of them.
SEEDS ?= 20
FIRST ?= 1
soak: $(VENV)/ready
	$(RUN) -m proofs run proofs/scenarios/*.json
	$(RUN) -m proofs mix --seeds $(SEEDS) --first $(FIRST)
	$(RUN) -m soak --seeds $(SEEDS) --first $(FIRST)

bench: $(VENV)/ready
	$(RUN) -m bench

format: $(VENV)/ready
	$(VENV)/bin/ruff check --fix --quiet $(SOURCES) || true
	$(VENV)/bin/ruff format --quiet $(SOURCES)

lock: $(VENV)/ready
	$(VENV)/bin/pip freeze --exclude-editable > requirements.lock

clean:
	rm -rf $(VENV) .hypothesis .mypy_cache .ruff_cache
