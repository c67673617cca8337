# Every target creates the virtual environment on first use.
VENV := .venv
PY := $(VENV)/bin/python
PYTHON ?= python3

.PHONY: demo test lint format reference bench binary clean

$(VENV)/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: $(VENV)/.ready
	$(PY) -m savoryspar demo

# These tests bound the memory of a process under load, so they run one at a
# time, after the others.
LIMIT_TESTS := tests/gateway/test_upload_limits.py \
	tests/gateway/test_connection_limits.py

test: $(VENV)/.ready
	$(PY) -m pytest -q -n 6 --dist loadscope \
		$(LIMIT_TESTS:%=--ignore %) tests
	$(PY) -m pytest -q $(LIMIT_TESTS)

lint: $(VENV)/.ready
	$(PY) -m ruff check .
	$(PY) -m ruff format --check .

format: $(VENV)/.ready
	$(PY) -m ruff check --fix .
	$(PY) -m ruff format .

reference: $(VENV)/.ready
	$(PY) -m tools.write_reference

bench: $(VENV)/.ready
	$(PY) -m savoryspar bench all

binary: $(VENV)/.ready
	$(PY) tools/build_binary.py
	$(PY) tools/check_binary.py dist/savoryspar

clean:
	rm -rf $(VENV) build dist .pytest_cache .ruff_cache .hypothesis
