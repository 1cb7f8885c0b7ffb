"""Stand-in for the counter: parts that serve calls in turn, with a line that is bounded."""

from __future__ import annotations

import zlib
from collections import Counter as Counts
from collections.abc import Callable

from cobaltline import interface as io

from .clock import Clock
from .links import Links

LINE = 1.5  # a part's longest line, in time-outs of its callers; the site draws 0.4 to 3
SWEEP_MS = 5000.0  # between two looks for names whose life is over


class Counter:
    """Names lie on one of `parts`; together these serve `per_s` calls a second. It stands in one zone.

    A call adds also where its caller no longer waits. `slowdown` is how much longer a call takes than usual.
    """

    def __init__(self, clock: Clock, links: Links, zone: str, parts: int, per_s: float, wait_ms: float):
        self._clock, self._links, self._zone = clock, links, zone
        self._service_ms, self._wait_ms = parts * 1000.0 / per_s, wait_ms
        self._free_at = [0.0] * parts
        self._numbers: dict[str, list] = {}  # total, when it is forgotten
        self.slowdown, self.is_down = 1.0, False
        self.calls: Counts[str] = Counts()  # by the plan they were made for
        self.peak_names = 0  # held at once
        self.unanswered = 0  # timed out, turned away or not reached
        clock.call_at(clock.now + SWEEP_MS, self._sweep)

    def call(
        self, zone: str, ask: io.CounterAdd, plan: str, answer: Callable[[io.CounterResult], None]
    ) -> None:
        """Gets exactly one `CounterResult`, in the order of the calls of one name and caller."""
        self.calls[plan] += 1
        sent = self._clock.now
        if self.is_down or not self._links.can_reach(zone, self._zone):
            self._unheard(ask, sent, answer)
            return
        link_ms = self._links.delay_ms(zone, self._zone)
        self._clock.call_at(sent + link_ms, self._take, ask, sent, link_ms, answer)

    def _unheard(self, ask: io.CounterAdd, sent: float, answer) -> None:
        self.unanswered += 1
        result = io.CounterResult(ask.name, io.Outcome.TIMEOUT, 0.0, self._wait_ms)
        self._clock.call_at(sent + self._wait_ms, answer, result)

    def _take(self, ask: io.CounterAdd, sent: float, link_ms: float, answer) -> None:
        if self.is_down:
            self._unheard(ask, sent, answer)
            return
        now = self._clock.now
        found = self.add(ask.name, ask.amount, ask.ttl_ms)
        if found is None:
            self.unanswered += 1
            result = io.CounterResult(ask.name, io.Outcome.OVERLOADED, 0.0, now + link_ms - sent)
            self._clock.call_at(now + link_ms, answer, result)
            return
        done, total = found
        took = done + link_ms - sent
        if took > self._wait_ms:
            self._unheard(ask, sent, answer)
        else:
            result = io.CounterResult(ask.name, io.Outcome.OK, float(f"{total:.7g}"), took)
            self._clock.call_at(done + link_ms, answer, result)

    def add(self, name: str, amount: float, ttl_ms: float) -> tuple[float, float] | None:
        """A call has come: when its answer leaves, in ms, and the total; None where it is turned away."""
        now = self._clock.now
        part = zlib.crc32(name.encode()) % len(self._free_at)
        line_ms = max(0.0, self._free_at[part] - now)
        if line_ms > LINE * self._wait_ms:
            return None
        done = self._free_at[part] = now + line_ms + self._service_ms * self.slowdown
        number = self._numbers.get(name)
        if number is None or number[1] <= now:
            number = self._numbers[name] = [0.0, now + ttl_ms]
            self.peak_names = max(self.peak_names, len(self._numbers))
        number[0] += amount
        return done, number[0]

    def reset_counts(self) -> None:
        """Count from now on what `calls` and `unanswered` tell."""
        self.calls.clear()
        self.unanswered = 0

    def clear(self) -> None:
        """It stands elsewhere now, and knows nothing."""
        self._numbers.clear()

    def _sweep(self) -> None:
        now = self._clock.now
        self._numbers = {name: number for name, number in self._numbers.items() if number[1] > now}
        self._clock.call_at(now + SWEEP_MS, self._sweep)
