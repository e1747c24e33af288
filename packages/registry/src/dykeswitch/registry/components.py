"""The components of one registry, built in the order of their dependencies."""

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
import dykeswitch.timeline as timelines


class Components:
    """The components that the calls, pages and loops of a registry use."""

    def __init__(
        self,
        config: settings.Settings,
        machine: ports.Machine,
        log: logs.Log,
        rng: random.Random,
        adapter: adapters.Adapter,
    ) -> None:
        self.config = config
        self.machine = machine
        self.log = log
        self.clock = machine.clock
        self.rng = rng
        self.adapter = adapter
        self.timeline = timelines.Timeline(config.name, self.clock, config.forget_s)
        self.marks = timelines.Marks(self.timeline, config.mark_s)
        self.meter = frames.CallCounters()
        self.call_client = frames.CallClient(machine.net, self.meter)
        self.gossip = self._gossip()
        self.boot_id = f"{rng.getrandbits(32):08x}"
        self.proposer = proposers.Proposer(
            f"{config.name}/{self.boot_id}",
            self.call_client,
            self.clock,
            machine.fault_points,
            config.call_timeout_s,
            rng,
        )
        self.publisher = publishers.Publisher(
            config, log, adapter, self.timeline, self.call_client, self.proposer
        )
        self.endpoints = endpoints.Endpoints(config, self.clock, self.timeline)
        self.duties = duties.Duties(config.name, self.boot_id, config, self.timeline, self.proposer)
        self.lender = lenders.Lender(config, self.clock, self.duties)
        self.prober = self._prober()
        self.reconfiguration = reconfigurations.Reconfiguration(
            config.name, config, machine, self.call_client, self.proposer, log.note
        )
        self.replies = replies.Replies(
            self.timeline,
            self.marks,
            self.gossip.wall,
            lambda: self.publisher.layout,
            lambda: self.publisher.pauses,
        )

    def _gossip(self) -> membership.Gossip:
        config = self.config
        return membership.Gossip(
            membership.Member(config.name, "registry", ports.address_of(config.member)),
            self.timeline,
            self.machine,
            self.call_client,
            self.rng,
            config.shuffle_s,
            config.call_timeout_s,
            config.hold_s,
            config.seeds,
            self.log.note,
            config.zone,
        )

    def _prober(self) -> probers.Prober:
        return probers.Prober(
            self.config.name,
            self.config,
            self.machine,
            self.timeline,
            self.marks,
            self.duties,
            self.publisher.probe_path,
            self.log.note,
        )

    def live(self) -> list[str]:
        """Registries known to be alive, including this one."""
        return sorted({self.config.name, *self.gossip.cores()})
