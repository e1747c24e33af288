"""The counters page, in the text form that monitoring systems read."""

import typing

import prometheus_client
import prometheus_client.core
import prometheus_client.registry


class _Held(prometheus_client.registry.Collector):
    """Hands a program's own counts to the library at the moment it is asked."""

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
    """One page of counters."""
    registry = prometheus_client.CollectorRegistry(auto_describe=False)
    registry.register(_Held(program, name, counts))
    return prometheus_client.generate_latest(registry)
