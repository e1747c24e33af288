"""Scale tests: fleets of many members in few processes, to measure what size costs.

A headless proxy is the proxy itself without callers and without a web server; an endpoint
is the stand-in that beats and answers probes. Registries and stores are real.

`commands` is the command line, `sweep` the plan, `testbed` a fleet of a size with its `worker`
processes, `measure` one run of it; `simulated` is the same on virtual time, and `data_path`
measures what a proxy adds to a request. `dataset`, `fit` and `metrics` lead from records to
slopes; `report`, `tables`, `data_tables` and `plots` make the page out of them.
"""
