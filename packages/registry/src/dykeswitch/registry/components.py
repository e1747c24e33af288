"""The parts of one registry, built in the order in which they need each other."""

import random

import dykeswitch.adapter as adapters
import dykeswitch.frames as frames
import dykeswitch.logs as logs
import dykeswitch.membership as membership
import dykeswitch.ports as ports
import dykeswitch.register.proposer as proposers
import dykeswitch.registry.duties as duties
import dykeswitch.registry.endpoints as endpoints
import dykeswitch.registry.lender as lenders
import dykeswitch.registry.prober as probers
import dykeswitch.registry.publisher as publishers
import dykeswitch.registry.reconfiguration as reconfigurations
import dykeswitch.registry.replies as replies
import dykeswitch.settings as settings
import dykeswitch.timeline as timeline


class Components:
    """What the calls, pages and loops of a registry work with."""

    def __init__(
        self,
        bounds: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter,
    ) -> None:
        self.bounds = bounds
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.rng = rng
        self.adapter = adapter
        self.line = timeline.Timeline(bounds.name, self.clock, bounds.forget_s)
        self.marks = timeline.Marks(self.line, bounds.mark_s)
        self.meter = frames.Tally()
        self.caller = frames.Caller(machine.net, self.meter)
        self.spread = self._spread()
        self.boot = f"{rng.getrandbits(32):08x}"
        self.proposer = proposers.Proposer(
            f"{bounds.name}/{self.boot}", self.caller, self.clock, machine.points, bounds.call_s, rng
        )
        self.publisher = publishers.Publisher(bounds, log, adapter, self.line, self.caller, self.proposer)
        self.endpoints = endpoints.Endpoints(bounds, self.clock, self.line)
        self.duties = duties.Duties(bounds.name, self.boot, bounds, self.line, self.proposer)
        self.lender = lenders.Lender(bounds, self.clock, self.duties)
        self.prober = self._prober()
        self.reconfiguration = reconfigurations.Reconfiguration(
            bounds.name, bounds, machine, self.caller, self.proposer, log.note
        )
        self.replies = replies.Replies(
            self.line,
            self.marks,
            self.spread.wall,
            lambda: self.publisher.layout,
            lambda: self.publisher.pauses,
        )

    def _spread(self) -> membership.Spread:
        bounds = self.bounds
        return membership.Spread(
            membership.Member(bounds.name, "registry", ports.address_of(bounds.member)),
            self.line,
            self.machine,
            self.caller,
            self.rng,
            bounds.shuffle_s,
            bounds.call_s,
            bounds.hold_s,
            bounds.seeds,
            self.log.note,
            bounds.zone,
        )

    def _prober(self) -> probers.Prober:
        return probers.Prober(
            self.bounds.name,
            self.bounds,
            self.machine,
            self.line,
            self.marks,
            self.duties,
            self.publisher.probe_path,
            self.log.note,
        )

    def live(self) -> list[str]:
        """Registries known to be alive, ourselves among them."""
        return sorted({self.bounds.name, *self.spread.cores()})
