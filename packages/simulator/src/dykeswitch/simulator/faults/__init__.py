"""The failures of the brief, each as something done to a running fleet."""

import typing

import dykeswitch.simulator.faults.beats as beats
import dykeswitch.simulator.faults.callers as callers
import dykeswitch.simulator.faults.connections as connections
import dykeswitch.simulator.faults.control as control
import dykeswitch.simulator.faults.cores as cores
import dykeswitch.simulator.faults.disks as disks
import dykeswitch.simulator.faults.endpoints as endpoints
import dykeswitch.simulator.faults.full as full
import dykeswitch.simulator.faults.garbage as garbage
import dykeswitch.simulator.faults.grey as grey
import dykeswitch.simulator.faults.identity as identity
import dykeswitch.simulator.faults.operators as operators
import dykeswitch.simulator.faults.proxies as proxies
import dykeswitch.simulator.faults.routes as routes
import dykeswitch.simulator.faults.wires as wires
import dykeswitch.simulator.stage as stages

# What lies between proxies, endpoints and callers alone: a small fleet shows it as well.
DATA_PATH: typing.Final[dict[str, stages.Fault]] = {
    **garbage.FAULTS,
    **full.FAULTS,
    **connections.FAULTS,
    **grey.FAULTS,
    **identity.FAULTS,
    **beats.FAULTS,
    **callers.FAULTS,
    **routes.FAULTS,
}
FAULTS: typing.Final[dict[str, stages.Fault]] = {
    **endpoints.FAULTS,
    **DATA_PATH,
    **proxies.FAULTS,
    **cores.FAULTS,
    **disks.FAULTS,
    **operators.FAULTS,
    **control.FAULTS,
    **wires.FAULTS,
}
# Such as the gateway does not hold yet: neither CI nor mixed days play them, and whoever mends
# one moves it into its module's other table.
KNOWN_FAILING: typing.Final[dict[str, stages.Fault]] = {}
# Days on which endpoints seal their replies, so that what bears no seal is known to be nobody's.
SEALED: typing.Final = garbage.SEALED
