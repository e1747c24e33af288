"""Hollow fleets: many members in few processes, to measure what size costs.

A hollow proxy is the proxy itself without callers and without a web server; a hollow
endpoint is the stand-in that beats and answers probes. Registries and stores are real.
"""
