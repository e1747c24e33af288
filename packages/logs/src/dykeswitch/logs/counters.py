"""The counters page, in the Prometheus text format."""

import typing

import prometheus_client
import prometheus_client.core
import prometheus_client.registry


class _CountsCollector(prometheus_client.registry.Collector):
    """Exposes the counts that a program keeps itself, read at the time of collection."""

    def __init__(self, program: str, name: str, counts: typing.Mapping[str, float]) -> None:
        self._program = program
        self._name = name
        self._counts = counts

    def collect(self) -> typing.Iterator[prometheus_client.core.Metric]:
        for key, count in sorted(self._counts.items()):
            family = prometheus_client.core.CounterMetricFamily(
                f"dykeswitch_{self._program}_{key}", key.replace("_", " "), labels=["member"]
            )
            family.add_metric([self._name], count)
            yield family


def page(program: str, name: str, counts: typing.Mapping[str, float]) -> bytes:
    """Return the page with the given counters."""
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_CountsCollector(program, name, counts))
    return prometheus_client.generate_latest(registry)
