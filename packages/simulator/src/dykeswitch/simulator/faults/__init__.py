"""The failures named in the requirements, each as a function that applies it to a running fleet."""

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

# Failures that involve only proxies, endpoints and clients; a small fleet is enough to show them.
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
# Failures that the gateway does not withstand yet. Neither CI nor mixed days include them; once
# fixed, an entry moves to the FAULTS table of its module.
KNOWN_FAILING: typing.Final[dict[str, stages.Fault]] = {}
# Faults that are run with endpoints that seal their responses, so that an unsealed response is
# recognised as not being theirs.
SEALED: typing.Final = garbage.SEALED
