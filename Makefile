# All targets run on a fresh machine with Python 3.11 and make.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = src tests bench

.PHONY: test check demo bench format experiment soak

test: check
	$(BIN)/python tests/run.py

check: $(VENV)/.ready
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

format: $(VENV)/.ready
	$(BIN)/black --quiet $(SOURCES)

demo: $(VENV)/.ready
	$(BIN)/python bench/demo.py

bench: $(VENV)/.ready
	$(BIN)/python bench/run_all.py

$(VENV)/.ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

experiment: $(VENV)/.ready
	PYTHONPATH=src:. $(BIN)/python bench/experiment.py run \
		bench/models/ferromodelos.json

soak: $(VENV)/.ready
	$(BIN)/python tests/soak/run.py --seeds 5 --first $$(date +%s)
