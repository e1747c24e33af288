"""What one process is told about itself and its bounds."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What one process is told about itself and its bounds."""

    name: str = ""
    zone: str = ""
    region: str = ""
    member: str = ""
    listen: str = ""
    web: str = ""
    ready: str = ""
    store: str = ""
    seeds: tuple[str, ...] = ()
    founders: tuple[str, ...] = ()
    data: str = ""
    # The bounds of the brief.
    recover_s: float = 15.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    lead_s: float = 1.0
    catch_up_s: float = 4.0
    # Traffic.
    request_s: float = 30.0
    max_tries: int = 3
    extra_share: float = 0.2
    extra_floor: int = 60
    extra_window_s: float = 10.0
    exchanges_most: int = 512
    body_most: int = 8 * 1024 * 1024
    bodies_most: int = 64 * 1024 * 1024
    reply_buffer: int = 1024 * 1024
    head_most: int = 32768
    layout_most: int = 4 * 1024 * 1024
    proof: str = "probe"
    back_s: float = 1.0
    cores_lost: int = 1
    zones_lost: int = 0
    regions_lost: int = 0
    quorum_eligible: bool = True
    far_share: float = 0.3
    log_level: str = "info"

    # Constants as ratios to the bounds.

    @property
    def mark_s(self) -> float:
        """How long a mark lasts; the source has it equal to the probe interval."""
        return self.recover_s / 3

    @property
    def probe_interval_s(self) -> float:
        """How often each endpoint is probed."""
        return self.mark_s

    @property
    def probe_timeout_s(self) -> float:
        """How long a probe may take."""
        return self.mark_s / 5

    @property
    def connect_timeout_s(self) -> float:
        """How long opening a connection may take."""
        return self.drain_s / 4

    @property
    def clock_gap_s(self) -> float:
        """A gap in our own clock that counts as having been frozen."""
        return self.drain_s / 4

    @property
    def tick_interval_s(self) -> float:
        """How often our own clock is watched for a gap."""
        return self.clock_gap_s / 5

    @property
    def shuffle_s(self) -> float:
        """How often views are shuffled with a neighbour."""
        return self.drain_s / 4

    @property
    def call_timeout_s(self) -> float:
        """How long one call to a member may take."""
        return self.drain_s / 2

    @property
    def hold_s(self) -> float:
        """How long a registry holds a poll with no news."""
        return self.drain_s / 2

    @property
    def sweep_interval_s(self) -> float:
        """How often what has run out is swept."""
        return self.drain_s / 4

    @property
    def forget_s(self) -> float:
        """How long the name of an endpoint that left is remembered."""
        return self.recover_s * 60

    @property
    def dead_after_s(self) -> float:
        """Silence after which a registry is taken for dead."""
        return self.recover_s / 5

    @property
    def disk_replace_after_s(self) -> float:
        """Silence after which a seated disk gives way to a blank one that waits."""
        return min(self.recover_s / 5, self.catch_up_s / 4)

    @property
    def state_wait_s(self) -> float:
        """How long a store may take to tell its state before it counts as silent."""
        return min(self.call_timeout_s, self.catch_up_s / 8)

    @property
    def handover_wait_s(self) -> float:
        """How long a stopping store waits for a sign that its vote is taken over."""
        return min(self.sweep_interval_s * 3, self.grace_s / 4)

    @property
    def max_handover_s(self) -> float:
        """How long a stopping store whose vote is being taken over goes on answering."""
        return self.grace_s * 0.75

    @property
    def loan_duration_s(self) -> float:
        """How long a loan of extra go's runs: longer than it takes to replace a lost lender."""
        return self.extra_window_s * 0.75

    @property
    def attempt_counts_s(self) -> float:
        """How long an extra go counts: a window, and within `clock_gap_s` of being paid for it is sent."""
        return self.extra_window_s + self.clock_gap_s

    @property
    def loan_lapse_s(self) -> float:
        """How long after a loan's end its coins still count as out, with some slack for clocks."""
        return self.attempt_counts_s + self.clock_gap_s

    @property
    def fence_max_age_s(self) -> float:
        """The age up to which a majority's word on a fence is gone by."""
        return self.dead_after_s

    @property
    def takeover_wait_s(self) -> float:
        """How long a new lender waits: nothing that the old one lent can be out any more."""
        return self.fence_max_age_s + self.loan_duration_s + self.loan_lapse_s

    @property
    def isolated_after_s(self) -> float:
        """Silence of all others after which a proxy is not ready, and bids its callers go.

        The platform asks each second, so at `drain_s` of silence it has surely asked: from
        then on who comes all the same is turned away.
        """
        return self.drain_s / 2
