"""The size of a fleet under test."""

import dataclasses
import typing

JsonObject = dict[str, typing.Any]

# The name in the records of the role of proxies without clients.
HEADLESS: typing.Final = "hollow"


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of a test fleet: the variables of the sweeps.

    `changes` and `marks` are rates per minute.
    """

    nodes: int = 40
    endpoints: int = 60
    services: int = 10
    rules: int = 100
    changes: float = 0.0
    marks: float = 0.0
    cores: int = 3

    def layout(self, turn: int) -> JsonObject:
        """Return a layout of this size; each turn moves one rule to another service."""
        names = [f"s{n}" for n in range(self.services)]
        rules = [
            {
                "name": f"rule-{n}",
                "host": f"tenant{n}.example",
                "path": f"/part{n}",
                "service": names[n % len(names)],
            }
            for n in range(self.rules)
        ]
        rules[0]["service"] = names[turn % len(names)]
        rules[0]["path"] = f"/turn{turn}"
        return {"services": {name: {"probe": "/healthz", "expiry_s": 10} for name in names}, "rules": rules}
