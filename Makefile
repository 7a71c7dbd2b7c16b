VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: setup format lint test demo platform-demo

$(VENV)/ready: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

setup: $(VENV)/ready

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python tools/known_red.py -- $(BIN)/python -m pytest

demo: setup
	$(BIN)/python tools/demo.py

platform-demo: setup
	$(BIN)/python tools/platform_soak.py --seed 1 --seconds 10
