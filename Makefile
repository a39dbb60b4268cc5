PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
EXAMPLE ?= brazos
PORT ?= 8080
ADMIN_PORT ?= $(shell expr $(PORT) + 1)
PLATFORM_PORT ?= $(shell expr $(PORT) + 2)

.PHONY: run test lint format bench slopes clean

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

run: $(VENV)/.installed
	@exec $(BIN)/wasabimuxd embedded examples/$(EXAMPLE).json --port $(PORT) --admin-port $(ADMIN_PORT) --platform-port $(PLATFORM_PORT)

test: $(VENV)/.installed lint
	$(BIN)/python -m tests.known_red

lint: $(VENV)/.installed
	$(BIN)/black -q --check wasabimux tests benchmarks
	$(BIN)/isort -q --check wasabimux tests benchmarks
	$(BIN)/flake8 wasabimux tests benchmarks
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/black -q wasabimux tests benchmarks
	$(BIN)/isort -q wasabimux tests benchmarks

bench: $(VENV)/.installed
	$(BIN)/python -m benchmarks.path
	$(BIN)/python -m benchmarks.pieces
	$(BIN)/python -m benchmarks.rate
	$(BIN)/python -m benchmarks.load
	$(BIN)/python -m benchmarks.domain
	$(BIN)/python -m benchmarks.calls
	$(BIN)/python -m benchmarks.rollout
	$(BIN)/python -m benchmarks.crowds

slopes: $(VENV)/.installed
	$(BIN)/python -m benchmarks.slopes

clean:
	rm -rf $(VENV) build *.egg-info

SEED ?= 1
STEPS ?= 1000

.PHONY: fuzz
fuzz: $(VENV)/.installed
	$(BIN)/python -m tests.fuzz $(SEED) $(STEPS)
