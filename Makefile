# Both targets set up what they need. The platform's own environment is .venv (deploy/balancer.toml),
# which its build makes and removes; this is another.
VENV ?= .venv-dev
BIN := $(VENV)/bin

.PHONY: run check
run: $(VENV)/whole
	$(BIN)/python -m sailhitch.lab.demo

check: $(VENV)/whole
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

$(VENV)/whole: requirements.txt requirements-dev.txt
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip -q install --retries 5 -r requirements.txt -r requirements-dev.txt
	touch $@
