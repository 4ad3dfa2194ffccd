# What a new checkout needs: `make test` builds what is missing and runs what CI runs.
.PHONY: build test

build:
	@sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

test: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/python -m pytest
	.venv/bin/python tests/replay_stream.py
