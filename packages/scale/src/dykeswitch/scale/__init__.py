"""Scale tests: measure the cost of fleet size with many members in a few processes.

A headless proxy is the real proxy without clients and without a web server. An endpoint is the
stand-in that sends heartbeats and answers probes. Registries and stores are real processes.

Modules:

- `commands` is the command line and `sweep` is the plan of the sizes to measure.
- `testbed` starts a fleet of a given size with its `worker` processes; `measure` runs it once.
- `simulated` measures the same sizes on virtual time.
- `data_path` measures what a proxy adds to a request.
- `dataset`, `fit` and `metrics` turn the records of runs into slopes.
- `report`, `tables`, `data_tables` and `plots` generate the capacity page from them.
"""
