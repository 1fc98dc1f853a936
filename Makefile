# Every target makes the virtual environment first when it is missing.
VENV ?= .venv
PIP_OPTIONS := --quiet --quiet --disable-pip-version-check
SHIPPED := model http store scheduling platform peers routing fleet operators standins burdockthread
LIBS := $(SHIPPED) scenarios
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach lib,$(LIBS),$(CURDIR)/libs/$(lib)))
PACKAGES := $(foreach lib,$(filter-out burdockthread,$(LIBS)),libs/$(lib)/burdockthread_$(lib)) libs/burdockthread/burdockthread
STAMP := $(VENV)/.installed

.PHONY: test demo demo-platform soak-jobs bench binary format check unit clean

test: check binary unit

$(STAMP): requirements/dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/python -m pip install $(PIP_OPTIONS) --require-hashes -r requirements/dev.txt
	touch $(STAMP)

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy $(PACKAGES) scripts
	$(VENV)/bin/lint-imports --no-cache

unit: $(STAMP)
	$(VENV)/bin/python scripts/run_tests.py

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: $(STAMP)
	$(VENV)/bin/python scripts/demo.py

demo-platform: $(STAMP)
	$(VENV)/bin/python -m burdockthread emulate --jobs 60 --rate 10
	$(VENV)/bin/python -m burdockthread emulate --jobs 60 --rate 5 --seed 3 --faults

soak-jobs: $(STAMP)
	$(VENV)/bin/python scripts/soak_jobs.py

bench: $(STAMP)
	$(VENV)/bin/python -m burdockthread bench
	$(VENV)/bin/python scripts/measure_rollout.py

binary: dist/burdockthread

build/packages/.installed: $(STAMP) requirements/runtime.txt
	rm -rf build/packages
	$(VENV)/bin/python -m pip install $(PIP_OPTIONS) --require-hashes --target build/packages -r requirements/runtime.txt
	touch build/packages/.installed

dist/burdockthread: build/packages/.installed $(shell find $(foreach lib,$(SHIPPED),libs/$(lib)) -name '*.py' -not -path '*/tests/*')
	rm -rf build/workspace
	$(VENV)/bin/python -m pip install $(PIP_OPTIONS) --no-deps --no-build-isolation --target build/workspace $(foreach lib,$(SHIPPED),./libs/$(lib))
	mkdir -p dist
	$(VENV)/bin/shiv --site-packages build/packages --site-packages build/workspace --compressed --console-script burdockthread --python '/usr/bin/env python3' --output-file dist/burdockthread

clean:
	rm -rf build dist .pytest_cache .mypy_cache .ruff_cache
