PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test demo soak lint format

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

test: setup
	$(BIN)/python -m devtools.run_tests

demo: setup
	$(BIN)/python -m devtools.demo

soak: setup
	$(BIN)/python -m devtools.soak --runs 10

lint: setup
	$(BIN)/python -m pyink --quiet --check bamboorouter devtools platform tests
	$(BIN)/python -m ruff check --quiet .
	$(BIN)/python -m mypy --strict

format: setup
	$(BIN)/python -m ruff check --quiet --fix-only .
	$(BIN)/python -m pyink --quiet bamboorouter devtools platform tests
