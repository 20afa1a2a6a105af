PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
LIBRARIES := core platform declare peers forward upstream query moves entry cli lab
EDITABLE := $(foreach name,$(LIBRARIES),-e libs/$(name))

.PHONY: setup test demo demo-entry measure capacity soak process-soak lint format

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(foreach name,$(LIBRARIES),libs/$(name)/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py

demo: setup
	$(BIN)/python platform/demo.py

demo-entry: setup
	$(BIN)/mimosahoist-lab demo

measure: setup
	$(BIN)/mimosahoist-lab measure --seed 7 --output measurements/measure.json

capacity: setup
	$(BIN)/mimosahoist-lab capacity --output measurements/capacity.json

soak: setup
	$(BIN)/mimosahoist-lab soak --seed 1 --seconds 60

process-soak: setup
	cd platform && ../$(BIN)/python soak.py --first 1 --seeds 10

lint: setup
	$(BIN)/black --check --quiet libs platform tools examples
	$(BIN)/ruff check --quiet libs platform tools examples

format: setup
	$(BIN)/black --quiet libs platform tools examples
	$(BIN)/ruff check --quiet --fix libs platform tools examples
