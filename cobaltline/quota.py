"""A customer's token bucket as one gateway sees it; tokens are borrowed from a count that all gateways share.

**The shared count.** The counter holds one number for each customer and window of the fleet's time
(`cobaltline/fleet_clock.py`): the units drawn since the window began. A window is many times as long as the
customer's bucket takes to fill. The level of the bucket follows from the total: the capacity plus the refill
since the window began, less the total. Two things make that differ from the true level. A full bucket takes
no more refill, so the overflow is added to the count. Calls that timed out may have been counted without a
grant, so a deficit larger than a bucket can have is subtracted. The gateway that notices either corrects the
count in the call that returns its excess. The gateway that opens a window reads the final total of the
previous window once, and adds what the bucket lacked at its end.

**Borrowing.** A request that finds tokens spends them. Otherwise the gateway borrows: one call adds the lease
to the count, and the part that exceeds the level is returned. Where the bucket was last seen well filled, the
request is admitted at once, within this gateway's share of the level, and a later call counts it together
with others (`uncounted_tokens`). Where that share is smaller than a request, `Gateway.overrun_share` decides:
the share of such admissions that exceeded the quota. A customer whose requests come much faster than before
is counted at once, and if that continues its requests wait for the count.

**Without the counter.** While calls fail or have to be spaced, the local share of the quota decides
(`take_local`); what it admits is added to the count later. A customer whose bucket is found short is refused
until the bucket has refilled far enough (`retry_at`).

**Recovery.** A counter that restarted empty shows a total below this gateway's own part. The count is then
raised by what this gateway admitted recently. A lease that stays unspent for the time in which the bucket
fills is returned with the next call.
"""

from __future__ import annotations

import hashlib

from . import interface as io
from .fleet_time import WINDOW_COUNT, WINDOW_MS, FleetTime

MILLI_PER_UNIT = 1000  # milli-tokens per unit
NO_WINDOW = -1  # not the number of any window
LEASE_SHARE = 0.06  # share of recent use added to a lease; small, as unspent tokens cost more than calls
FILLED_SHARE = 0.5  # of the capacity: from this level on, requests are admitted before they are counted
TRUST_SHARE = 0.7  # part of a gateway's share of the level that it may admit before counting
OVERFLOW_SHARE = 0.1  # of the capacity: an overflow above this is added to the count
DEFICIT_SHARE = 1.0  # of the capacity: a level further below empty shows that the count is too high
QUICK_FACTOR = 16.0  # a gap this many times shorter than the mean gap counts as part of a burst
GAP_WEIGHT = 0.1  # weight of one gap in the mean gap between a customer's requests
SHORT_MEMORY_FILLS = 2.0  # fill times during which a bucket found short is expected to be short still
HOME_COUNT = 3  # gateways that can be a customer's home, tried in order while one does not answer
RISK_WEIGHT = 6.0  # factor on the expected overrun cost in the odds of refusing a request
RISK_SIZE_EXPONENT = 1.5  # of a request's relative size in that cost: large ones fit less often


class Bucket:
    """One customer at one gateway: leased tokens, the pending borrow, and the shared bucket as last seen.

    Tokens are milli-tokens (`MILLI_PER_UNIT`). `first` and `spread` are the index of the first gateway and
    the number of gateways of the customer's set. The caller makes the calls to the counter and passes the
    results.
    """

    __slots__ = (
        "key",
        "plan",
        "first",
        "fleet_time",
        "spread",
        "counter_name",
        "homes",
        "home_rank",
        "rate",
        "capacity",
        "fill_ms",
        "window_shift_ms",
        "previous_total_tries",
        "correction",
        "window",
        "counted_window",
        "added",
        "uncounted_tokens",
        "expired_tokens",
        "tokens",
        "leased_at",
        "lease",
        "level",
        "is_filled",
        "uncounted_requests",
        "period_use",
        "last_period_use",
        "period_started_at",
        "last_arrival_at",
        "quick_streak",
        "mean_gap_ms",
        "retry_at",
        "pending",
        "short_at",
        "waiting",
        "gated",
        "open_count",
        "max_open",
        "sources_tried",
        "promised_at",
        "was_asked_again",
        "share",
        "local_tokens",
        "local_refilled_at",
        "has_thin_share",
        "spare_rate",
        "max_spare",
        "spare",
        "spare_refilled_at",
        "last_used_at",
    )

    def __init__(
        self,
        key: str,
        plan: io.Plan,
        first: int,
        spread: int,
        settings: io.Settings,
        now: float,
        fleet_time: FleetTime,
    ):
        self.key, self.plan, self.first = key, plan, first
        self.fleet_time = fleet_time
        self.spread = spread = max(1, min(spread, settings.gateways))
        rank = (settings.node_id - first) % max(1, settings.gateways)
        # All gateways derive the same homes, which lend tokens to the rest of the set: a gateway that sees
        # all of a customer's use needs few calls.
        digest = hashlib.sha256(f"{plan.name}/{key}".encode()).digest()
        self.counter_name = digest.hex()[:40]
        home_count = HOME_COUNT if settings.may_message_peers else 0
        home_positions = [int.from_bytes(digest[4 * i : 4 * i + 4]) % spread for i in range(home_count)]
        self.homes = [(first + position) % max(1, settings.gateways) for position in home_positions]
        self.home_rank = self.homes.index(settings.node_id) + 1 if settings.node_id in self.homes else 0
        self.rate = plan.rate  # units per second, which are milli-tokens per millisecond
        self.capacity = int(plan.burst * MILLI_PER_UNIT)
        self.fill_ms = self.capacity / self.rate if self.rate > 0 else 1000.0  # to fill an empty bucket
        # The windows of different customers end at different times, as each end causes calls to the counter.
        self.window_shift_ms = float(int.from_bytes(digest[-4:]) % int(WINDOW_MS))
        self.previous_total_tries = 0  # calls made to read the final total of the previous window
        # Correction of the count that is held back until the final total of the previous window is known.
        self.correction: int | None = None
        self.window = self.clock(now)[0]
        self.counted_window = NO_WINDOW  # the last window whose count was seen
        # This gateway's part of the window's count; tokens admitted and not yet counted; tokens of expired
        # leases that are to be returned.
        self.added = self.uncounted_tokens = self.expired_tokens = 0
        self.tokens, self.leased_at, self.lease = 0, now, 0
        # Level of the bucket after the last lease, and whether that counts as well filled.
        self.level, self.is_filled = 0.0, False
        self.uncounted_requests = 0  # requests admitted and not yet counted
        self.period_use = self.last_period_use = 0  # own use in periods of `fill_ms`
        self.period_started_at = now
        self.last_arrival_at, self.quick_streak = 0.0, 0  # consecutive short gaps
        # Mean gap between requests at this gateway; the initial value assumes a quarter of the quota.
        self.mean_gap_ms = 4.0 * MILLI_PER_UNIT * spread / max(self.rate, 1e-9)
        self.retry_at, self.pending = 0.0, 0  # number of unanswered calls of the borrow
        self.short_at = -1e12  # when the bucket was last found short
        self.waiting, self.gated = [], []  # requests waiting for tokens; for an attempt to end
        # This gateway's part of the limit on concurrent attempts; requests above it wait for an attempt to
        # end.
        gets_remainder = rank < plan.max_concurrency % spread
        self.open_count, self.max_open = 0, max(1, plan.max_concurrency // spread + gets_remainder)
        # Sources that failed for the waiting requests (1: counter; 2 for each home asked); the latest retry
        # time given to a peer.
        self.sources_tried, self.promised_at = 0, 0.0
        self.was_asked_again = False  # the borrow was repeated after an unusable response
        self.share = 1.0 / (self.home_rank or spread)
        self.local_tokens, self.local_refilled_at = self.capacity * self.share, now
        # With a share below one unit, what a gateway sees of the customer does not predict whether a request
        # fits.
        self.has_thin_share = (
            self.capacity * self.share < MILLI_PER_UNIT
            and plan.ceiling_rate <= 0
            and not settings.may_message_peers
        )
        # Requests admitted without the counter draw on a part of the ceiling less the quota, which is divided
        # among gateways from the first home on, at least two units each. It starts empty, as a restarted
        # gateway does not know what it admitted before.
        spare_units = max(0.0, plan.ceiling_burst - plan.burst)
        holder_count = max(1, min(spread, int(spare_units / 2)))
        position = (rank - (home_positions[0] if home_positions else 0)) % spread
        spare_share = 1.0 / holder_count if position < holder_count else 0.0
        self.spare_rate = max(0.0, plan.ceiling_rate - plan.rate) * spare_share
        self.max_spare, self.spare, self.spare_refilled_at = (
            spare_units * MILLI_PER_UNIT * spare_share,
            0.0,
            now,
        )
        self.last_used_at = now

    def is_in_use(self) -> bool:
        """Whether a request, an attempt or a counter call refers to the bucket."""
        return bool(self.pending or self.open_count or self.waiting or self.gated)

    def clock(self, now: float) -> tuple[int, float]:
        """Returns the number of the customer's current window and the time in ms since it began."""
        return self.fleet_time.window(now, self.window_shift_ms)

    def knows_window(self, now: float) -> bool:
        """Whether the fleet's time is known well enough to tell the customer's current window."""
        return self.fleet_time.knows_window(now, self.window_shift_ms)

    def previous_window(self) -> int:
        """Returns the number of the previous window; window numbers wrap around."""
        return (self.window - 1) % WINDOW_COUNT

    def record_arrival(self, now: float) -> None:
        """Takes a new request into the mean gap between requests, and into the count of short gaps."""
        if self.last_arrival_at:
            gap_ms = now - self.last_arrival_at
            self.quick_streak = self.quick_streak + 1 if gap_ms * QUICK_FACTOR < self.mean_gap_ms else 0
            self.mean_gap_ms += GAP_WEIGHT * (gap_ms - self.mean_gap_ms)
        self.last_arrival_at = now

    def advance(self, now: float) -> None:
        """Brings the state up to date: starts new periods and windows, and expires unspent leases."""
        if now - self.period_started_at >= self.fill_ms:
            if now - self.period_started_at >= 2.0 * self.fill_ms:  # all of it has refilled since
                self.period_use = self.uncounted_tokens = self.uncounted_requests = 0
            self.last_period_use, self.period_use, self.period_started_at = self.period_use, 0, now
        if self.tokens > 0 and now - self.leased_at > self.fill_ms:
            self.expired_tokens += self.tokens
            self.tokens = 0
        window = self.clock(now)[0]
        if window != self.window:
            self.window, self.added, self.expired_tokens = window, 0, 0

    def spend(self, cost: int) -> None:
        """Records `cost` as used; a negative cost takes back an earlier one."""
        self.period_use += cost
        self.local_tokens -= cost

    def lease_size(self, direct_share: float) -> int:
        """Returns the lease to borrow, 0 if no request waits.

        `direct_share` is the share of borrows that go directly to the counter; the lower it is, the larger
        the lease.
        """
        if not self.waiting:
            return 0
        share = max(LEASE_SHARE, 1.0 - direct_share)
        cost = self.waiting[0].cost
        own_part = int(self.capacity * self.share)
        lease = min(own_part, int(self.last_period_use * share) + cost)
        return max(lease, sum(request.cost for request in self.waiting))

    def take_unreported(self) -> int:
        """Returns what the next call has to add to the count besides its lease, and resets it."""
        own, self.uncounted_tokens, self.expired_tokens, self.uncounted_requests = (
            self.uncounted_tokens - self.expired_tokens,
            0,
            0,
            0,
        )
        self.added += own
        return own

    def apply_total(self, now: float, total: int) -> tuple[bool, int]:
        """Sets `level` to the bucket's level before the lease; `total` is the window's count with the lease.

        Returns whether this was the window's first call, and the correction to add to the count.
        """
        self.added += self.lease
        elapsed_ms, correction, max_level = self.clock(now)[1], 0, float(self.capacity)
        level_before_lease = self.capacity + self.rate * elapsed_ms - total + self.lease
        opens = total == self.added and elapsed_ms < self.fill_ms and self.counted_window != self.window
        self.counted_window = self.window
        if total < self.added:  # the counter restarted empty: restore this gateway's recent use
            self.added, max_level = total, max(0.0, max_level - self.period_use - self.last_period_use)
            correction = max(0, int(level_before_lease - max_level))
        elif level_before_lease > (1.0 + OVERFLOW_SHARE) * self.capacity and not opens:
            correction = int(level_before_lease - self.capacity)
        elif level_before_lease < -DEFICIT_SHARE * self.capacity:
            correction = int(level_before_lease + DEFICIT_SHARE * self.capacity)
        self.level = max(-DEFICIT_SHARE * self.capacity, min(max_level, level_before_lease))
        return opens, correction

    def add_lease(self, now: float, keep: int) -> None:
        """Adds the `keep` tokens of a lease that are kept."""
        self.tokens += keep
        self.leased_at = now
        self._reduce_level(keep)

    def carry_over(self, total: int) -> int:
        """Returns what the bucket lacked when the previous window ended with `total`, for the count."""
        final_level = self.capacity + self.rate * WINDOW_MS - total
        lacked = int(self.capacity - max(0.0, min(self.capacity, final_level)))
        self._reduce_level(lacked)
        return lacked

    def _reduce_level(self, units: int) -> None:
        self.level -= units
        self.is_filled = self.level >= FILLED_SHARE * self.capacity

    def take_local(self, now: float, cost: int, draw: float, short_share: float, mean_cost: float) -> bool:
        """Whether the local share of the quota admits a request while the counter can't be called.

        `draw` is a random number from [0, 1), `short_share` the share of borrows that found their buckets
        short, and `mean_cost` the mean cost of requests. A local share below one request does not predict
        whether the request fits. Unless the bucket was found short recently, such a request is admitted at
        random: less often the more borrows come back short, the more an overrun costs, and the larger the
        request is. A refused client may retry and be counted then. After the bucket was found short, the
        request is admitted at random in proportion to the local tokens, which may go below 0, so that on
        average exactly the local share is used.
        """
        max_tokens = self.capacity * self.share
        self.local_tokens = min(
            max_tokens, self.local_tokens + self.rate * self.share * (now - self.local_refilled_at)
        )
        self.local_refilled_at = now
        is_share_small = max_tokens < cost
        if self.has_thin_share and now - self.short_at > SHORT_MEMORY_FILLS * self.fill_ms:
            risk = self.plan.overrun_cost * short_share * (cost / mean_cost) ** RISK_SIZE_EXPONENT
            fits = draw >= RISK_WEIGHT * risk
        else:
            fits = (
                self.local_tokens >= cost * (draw if is_share_small else 1.0) - 1e-6 and self.local_tokens > 0
            )
        if not fits or not self.take_spare(now, cost):
            return False
        self.spend(cost)
        self.uncounted_tokens += cost
        return True

    def take_spare(self, now: float, cost: int) -> bool:
        """Whether a request may be admitted before it is counted.

        Under a ceiling, it draws on this gateway's part of the ceiling less the quota.
        """
        if self.plan.ceiling_rate <= 0:
            return True
        spare = self.spare + self.spare_rate * (now - self.spare_refilled_at)
        self.spare, self.spare_refilled_at = min(self.max_spare, spare), now
        if self.spare < cost:
            return False
        self.spare -= cost
        return True
