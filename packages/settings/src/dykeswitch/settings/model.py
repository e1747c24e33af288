"""The settings of one process, and the durations that derive from them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process; each is described in docs/settings.md."""

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
    # The time bounds that are required of the gateway.
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

    # Durations that derive from the bounds.

    @property
    def mark_s(self) -> float:
        """How long a mark on an endpoint is valid; required to equal the probe interval."""
        return self.recover_s / 3

    @property
    def probe_interval_s(self) -> float:
        """Interval at which each endpoint is probed."""
        return self.mark_s

    @property
    def probe_timeout_s(self) -> float:
        """Timeout of a probe."""
        return self.mark_s / 5

    @property
    def connect_timeout_s(self) -> float:
        """Timeout for opening a connection."""
        return self.drain_s / 4

    @property
    def clock_gap_s(self) -> float:
        """Gap between ticks of the process's clock from which on it is taken to have been frozen."""
        return self.drain_s / 4

    @property
    def tick_interval_s(self) -> float:
        """Interval at which the process's clock is checked for gaps."""
        return self.clock_gap_s / 5

    @property
    def shuffle_s(self) -> float:
        """Interval at which a member exchanges a part of its view with a neighbour."""
        return self.drain_s / 4

    @property
    def call_timeout_s(self) -> float:
        """Timeout of a call to another member."""
        return self.drain_s / 2

    @property
    def hold_s(self) -> float:
        """How long a registry delays the reply to a poll while it has nothing to report (long polling)."""
        return self.drain_s / 2

    @property
    def sweep_interval_s(self) -> float:
        """Interval at which expired entries are removed."""
        return self.drain_s / 4

    @property
    def forget_s(self) -> float:
        """How long the name of an endpoint that has left is remembered."""
        return self.recover_s * 60

    @property
    def dead_after_s(self) -> float:
        """Silence after which a registry is considered dead."""
        return self.recover_s / 5

    @property
    def disk_replace_after_s(self) -> float:
        """Silence after which a disk that has a vote is replaced by a blank one that waits for a vote."""
        return min(self.recover_s / 5, self.catch_up_s / 4)

    @property
    def state_wait_s(self) -> float:
        """How long a store may take to report its state before it counts as silent."""
        return min(self.call_timeout_s, self.catch_up_s / 8)

    @property
    def handover_wait_s(self) -> float:
        """How long a stopping store waits for a sign that its vote is being taken over."""
        return min(self.sweep_interval_s * 3, self.grace_s / 4)

    @property
    def max_handover_s(self) -> float:
        """How long a stopping store continues to answer while its vote is being taken over."""
        return self.grace_s * 0.75

    @property
    def loan_duration_s(self) -> float:
        """Duration of a loan of retry tokens, which is longer than replacing a lost lender takes."""
        return self.extra_window_s * 0.75

    @property
    def attempt_counts_s(self) -> float:
        """How long a retry counts against the budget.

        One window, plus `clock_gap_s`, within which a retry is sent after its token was taken.
        """
        return self.extra_window_s + self.clock_gap_s

    @property
    def loan_lapse_s(self) -> float:
        """How long after a loan's end its tokens still count as lent, with some allowance for clocks."""
        return self.attempt_counts_s + self.clock_gap_s

    @property
    def fence_max_age_s(self) -> float:
        """The age up to which a majority's confirmation of a fence is relied on."""
        return self.dead_after_s

    @property
    def takeover_wait_s(self) -> float:
        """How long a new lender waits, so that no token lent by its predecessor can be in use any more."""
        return self.fence_max_age_s + self.loan_duration_s + self.loan_lapse_s

    @property
    def isolated_after_s(self) -> float:
        """Silence of all other members after which a proxy is not ready and asks its clients to leave.

        The platform polls readiness every second, so it has certainly noticed by the time the
        silence has lasted `drain_s`; requests that still arrive after that are refused.
        """
        return self.drain_s / 2
