"""A customer's token bucket as one gateway has it: borrowing from the shared count that follows demand.

**What it knows.** All gateways keep one number for each customer and window of the fleet's time
(`cobaltline/fleet_clock.py`) on the counter: the
units drawn since the window began. A window is many times as long as the customer's store takes to fill, and
its budget fills as the window goes, so the store's level can be read off one total: what a full store and the
refill since the window's start come to, less the total. Two things bring that away from the true store, and
whoever sees it puts it right in the call that returns its excess: a store that is full takes no more refill
(that overflow is added to the count), and calls that were given up were counted for nothing (a deficit that
no store can have is taken off). Whoever opens a window reads the one before, once, and adds what the store
still lacked.

**Who is asked about.** A request that finds tokens spends them. Else the gateway borrows: one call adds the
lease, and what does not fit goes back. Where the store was seen well filled, nothing is at stake: the request
goes out at once, within this gateway's part of what was left, and a call behind it counts it together with
others (`uncounted_tokens`). A part smaller than a request bounds nothing; there `Gateway.overrun_share`
decides, the share of such trust that turned out wrong. A customer that comes many times quicker than it used
to is counted at once, and asked about first when that goes on.

**When the count is stale or gone.** Calls fail, or have to be spaced: the local share of the quota decides
(`take_local`), and what it lets in is owed to the count. A customer found short is refused until its store
has refilled so far (`retry_at`).

**How it gets back.** A counter that came back empty shows a total below this gateway's own part: the count is
put where the store lacks what this gateway let in of late. A lease that nobody spends while the store would
fill goes back with the next call.
"""

from __future__ import annotations

import hashlib
from collections import deque

from . import interface as io
from .fleet_time import WINDOW_COUNT, WINDOW_MS, FleetTime

MILLI_PER_UNIT = 1000  # milli-tokens a unit; the paper charges 1000 a request
NO_WINDOW = -1  # is the number of none
LEASE_SHARE = 0.06  # of last use that a lease adds: calls are cheap beside stranded tokens
FILLED_SHARE = 0.5  # of its store: a customer that has so much left is let in before it is counted
TRUST_SHARE = 0.7  # of a gateway's part of what was left: so much it lets in before it counts it
OVERFLOW_SHARE = 0.1  # of a store that may run over before the count is put right
DEFICIT_SHARE = 1.0  # of a store: a count that is further below empty is taken for wrong
QUICK_TIMES = 16.0  # a request that comes so many times sooner than the mean tells of a burst
PACE_WEIGHT = 0.1  # of one gap in the mean between a customer's requests here
SHORT_FILLS = 2.0  # times that its store fills in: so long a customer found short counts as beyond its quota
HOMES = 3  # gateways of a customer's set that may be its home, in turn while one does not answer
BLIND_ODDS = 6.0  # how much more what is let in unasked has to be likely than what it may cost
BLIND_SIZE = 1.5  # power of a request's size in that: a large one fits less often, and costs more where not


class Bucket:
    """One customer here: leased milli-tokens, the borrow in flight, and what the shared count showed."""

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
        # Homes, the same at each gateway, lend to the set: who sees all of a customer's use needs few calls.
        digest = hashlib.sha256(f"{plan.name}/{key}".encode()).digest()
        self.counter_name = digest.hex()[:40]
        homes = HOMES if settings.may_message_peers else 0
        turns = [int.from_bytes(digest[4 * i : 4 * i + 4]) % spread for i in range(homes)]
        self.homes = [(first + turn) % max(1, settings.gateways) for turn in turns]
        self.home_rank = self.homes.index(settings.node_id) + 1 if settings.node_id in self.homes else 0
        self.rate = plan.rate  # milli-tokens a millisecond
        self.capacity = int(plan.burst * MILLI_PER_UNIT)
        self.fill_ms = self.capacity / self.rate if self.rate > 0 else 1000.0  # in which an empty store fills
        # Windows of unlike customers end at unlike moments: each brings calls that read the one before.
        self.shift_ms = float(int.from_bytes(digest[-4:]) % int(WINDOW_MS))
        self.previous_total_tries = 0  # calls that asked how the window before ended
        # puts the count right, once it is known how the window before ended
        self.correction: int | None = None
        self.window = self.clock(now)[0]
        self.counted_window = NO_WINDOW  # the last window that a count was seen of
        # What this gateway has in the count of this window; let in and not counted yet; lapsed, not returned.
        self.added = self.uncounted_tokens = self.left = 0
        self.tokens, self.lent_at, self.lease = 0, now, 0
        # of the store after the last lease; whether that is well filled
        self.level, self.is_filled = 0.0, False
        self.uncounted_requests = 0  # requests that are owed
        self.spent = self.spent_before = 0  # own use since `spent_at`, and in the `fill_ms` before
        self.spent_at = now
        self.visited_at, self.quick_streak = 0.0, 0  # the last request; how many in a row came quickly
        # Mean gap between requests here; at first that of units at a quarter of the quota.
        self.pace_ms = 4.0 * MILLI_PER_UNIT * spread / max(self.rate, 1e-9)
        self.retry_at, self.pending = 0.0, 0  # pending: answers still out for the borrow in flight
        self.short_at = -1e12  # when the store was last found short
        self.waiting, self.gated = deque(), deque()  # for tokens; for an attempt out to end
        # Over this part of the limit on attempts out, requests wait for an own one to end.
        extra = rank < plan.max_concurrency % spread
        self.open_count, self.max_open = 0, max(1, plan.max_concurrency // spread + extra)
        # sources that failed for what waits; last turn told to a peer
        self.sources_tried, self.promised_at = 0, 0.0
        self.was_asked_again = False  # for what waits, the counter was asked once more after a spoilt answer
        self.share = 1.0 / (self.home_rank or spread)
        self.local, self.local_at = self.capacity * self.share, now
        # So many gateways that none has a unit of the burst: what one sees of the customer tells it nothing.
        self.has_thin_share = (
            self.capacity * self.share < MILLI_PER_UNIT
            and plan.ceiling_rate <= 0
            and not settings.may_message_peers
        )
        # Unconfirmed grants under a ceiling: a part of ceiling less quota, two units at least, from the first
        # home on. Starts empty: a gateway that was restarted cannot know what it granted before.
        extra = max(0.0, plan.ceiling_burst - plan.burst)
        holders = max(1, min(spread, int(extra / 2)))
        turn = (rank - (turns[0] if turns else 0)) % spread
        part = 1.0 / holders if turn < holders else 0.0
        self.spare_rate = max(0.0, plan.ceiling_rate - plan.rate) * part
        self.max_spare, self.spare, self.spare_at = extra * MILLI_PER_UNIT * part, 0.0, now
        self.last_used_at = now

    def clock(self, now: float) -> tuple[int, float]:
        """The number of the customer's window, and the time in ms since that began."""
        return self.fleet_time.window(now, self.shift_ms)

    def knows_window(self, now: float) -> bool:
        return self.fleet_time.knows_window(now, self.shift_ms)

    def previous_window(self) -> int:
        """The number of the window before this one; they are numbered round."""
        return (self.window - 1) % WINDOW_COUNT

    def record_arrival(self, now: float) -> None:
        """A request has come: how quickly, beside the mean of late."""
        if self.visited_at:
            gap_ms = now - self.visited_at
            self.quick_streak = self.quick_streak + 1 if gap_ms * QUICK_TIMES < self.pace_ms else 0
            self.pace_ms += PACE_WEIGHT * (gap_ms - self.pace_ms)
        self.visited_at = now

    def advance(self, now: float) -> None:
        """Bring the clock forward: a new window has nothing counted; leases lapse that nobody spent."""
        if now - self.spent_at >= self.fill_ms:
            if now - self.spent_at >= 2.0 * self.fill_ms:  # what was used then has refilled
                self.spent = self.uncounted_tokens = self.uncounted_requests = 0
            self.spent_before, self.spent, self.spent_at = self.spent, 0, now
        if self.tokens > 0 and now - self.lent_at > self.fill_ms:
            self.left += self.tokens
            self.tokens = 0
        window = self.clock(now)[0]
        if window != self.window:
            self.window, self.added, self.left = window, 0, 0

    def spend(self, cost: int) -> None:
        self.spent += cost
        self.local -= cost

    def lease_size(self, direct: float) -> int:
        """The lease to ask for; none where nothing waits. `direct` is the share of borrows that go well."""
        if not self.waiting:
            return 0
        share = max(LEASE_SHARE, 1.0 - direct)
        cost = self.waiting[0].cost
        own_part = int(self.capacity * self.share)
        lease = min(own_part, int(self.spent_before * share) + cost)
        return max(lease, sum(r.cost for r in self.waiting))

    def take_unreported(self) -> int:
        """What the next call counts beside its lease."""
        own, self.uncounted_tokens, self.left, self.uncounted_requests = (
            self.uncounted_tokens - self.left,
            0,
            0,
            0,
        )
        self.added += own
        return own

    def apply_total(self, now: float, total: int) -> tuple[bool, int]:
        """The count of this window with the lease in it, from which follows what the store held before the
        lease (`level`). Returns whether this was the window's first call, and what has to be added to the
        count to put it right."""
        self.added += self.lease
        inside_ms, amount, most = self.clock(now)[1], 0, float(self.capacity)
        held = self.capacity + self.rate * inside_ms - total + self.lease
        opens = total == self.added and inside_ms < self.fill_ms and self.counted_window != self.window
        self.counted_window = self.window
        if total < self.added:  # the counter came back empty: what this gateway let in of late is put back
            self.added, most = total, max(0.0, most - self.spent - self.spent_before)
            amount = max(0, int(held - most))
        elif held > (1.0 + OVERFLOW_SHARE) * self.capacity and not opens:
            amount = int(held - self.capacity)
        elif held < -DEFICIT_SHARE * self.capacity:
            amount = int(held + DEFICIT_SHARE * self.capacity)
        self.level = max(-DEFICIT_SHARE * self.capacity, min(most, held))
        return opens, amount

    def add_lease(self, now: float, keep: int) -> None:
        """So much of the lease is kept."""
        self.tokens += keep
        self.lent_at = now
        self._draw(keep)

    def carry_over(self, total: int) -> int:
        """The window before ended with this total: what its store lacked then, and the count has to have."""
        held = self.capacity + self.rate * WINDOW_MS - total
        lacked = int(self.capacity - max(0.0, min(self.capacity, held)))
        self._draw(lacked)
        return lacked

    def _draw(self, units: int) -> None:
        self.level -= units
        self.is_filled = self.level >= FILLED_SHARE * self.capacity

    def take_local(self, now: float, cost: int, odds: float, short: float, mean_cost: float) -> bool:
        """The bounded local share that stands in for the counter while calls fail. A share under one request,
        as many gateways have of a small burst, tells nothing of the customer: unless its store was lately
        found short, it is let in by odds (a draw below 1), the less likely the more of other customers'
        borrows came back `short`, the more it costs to let in too much and the larger it is beside the mean.
        Refused, its client comes again and may be counted then. After its store was found short: by odds,
        and owed, so that shares neither lapse nor round up."""
        most = self.capacity * self.share
        self.local = min(most, self.local + self.rate * self.share * (now - self.local_at))
        self.local_at = now
        small = most < cost
        if self.has_thin_share and now - self.short_at > SHORT_FILLS * self.fill_ms:
            risk = self.plan.overrun_cost * short * (cost / mean_cost) ** BLIND_SIZE
            fits = odds >= BLIND_ODDS * risk
        else:
            fits = self.local >= cost * (odds if small else 1.0) - 1e-6 and self.local > 0
        if not fits or not self.take_spare(now, cost):
            return False
        self.spend(cost)
        self.uncounted_tokens += cost
        return True

    def take_spare(self, now: float, cost: int) -> bool:
        """Under a ceiling, unconfirmed grants draw on this gateway's part of ceiling less quota."""
        if self.plan.ceiling_rate <= 0:
            return True
        spare = self.spare + self.spare_rate * (now - self.spare_at)
        self.spare, self.spare_at = min(self.max_spare, spare), now
        if self.spare < cost:
            return False
        self.spare -= cost
        return True
