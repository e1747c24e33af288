"""The failures of the brief, each as something done to a running fleet."""

import typing

import dykeswitch.simulator.faults.cores as cores
import dykeswitch.simulator.faults.endpoints as endpoints
import dykeswitch.simulator.faults.operators as operators
import dykeswitch.simulator.faults.proxies as proxies
import dykeswitch.simulator.faults.wires as wires
import dykeswitch.simulator.stage as stages

FAULTS: typing.Final[dict[str, stages.Fault]] = {
    **endpoints.FAULTS,
    **proxies.FAULTS,
    **cores.FAULTS,
    **operators.FAULTS,
    **wires.FAULTS,
}
