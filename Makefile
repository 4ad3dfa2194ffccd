# What a new checkout needs: both build what is missing. `make demo` shows a node at work, `make test` runs what CI
# runs.
.PHONY: build demo mesh test

build:
	@sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/balancer.toml", "rb"))["build"])')"

demo: build
	@.venv/bin/python -m leadrudder.cli demo

mesh:
	@sh -c "$$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
	@PYTHONPATH=target/deps python3 -m leadrudder.mesh demo

test: build
	.venv/bin/pip -q install -r requirements-experiment.txt -r requirements-mesh.txt types-protobuf==7.35.1.20260906
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy
	.venv/bin/python -m pytest
	.venv/bin/python tests/replay_stream.py
