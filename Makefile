.PHONY: check
check:
	ruff format --check .
	ruff check .
	mypy
	python -m pytest
