PYTHON ?= python3
VENV = .venv/bin

.PHONY: build install test lint format run demo ci clean

build: .venv
	$(VENV)/python -m pip install -q -r requirements.txt

install: .venv
	$(VENV)/python -m pip install -q -e '.[dev]'

.venv:
	$(PYTHON) -m venv .venv

test: install
	$(VENV)/python -m pytest -q

lint: install
	$(VENV)/ruff check ploverspoke tests
	$(VENV)/ruff format --check ploverspoke tests
	$(VENV)/mypy

format: install
	$(VENV)/ruff format ploverspoke tests

run: build
	exec $(VENV)/python -m ploverspoke

demo: build
	$(VENV)/python -m pip install -q -e '.[testbed]'
	$(VENV)/ploverspoke demo

ci:
	bash .ci/run

clean:
	rm -rf .venv build *.egg-info .pytest_cache .ruff_cache .mypy_cache
