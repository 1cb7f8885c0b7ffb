"""The customers that one gateway knows, bounded in number."""

from __future__ import annotations

from collections import OrderedDict

from .quota import Bucket

CUSTOMER_BYTES = 2560  # memory of a customer's bucket and its place in the table, at most
IDLE_MS = 10000.0  # idle customers are dropped after this time
# For customers whose bucket was well filled: a gateway of a large set sees each of them seldom.
FILLED_IDLE_MS = 120000.0
MAX_EVICTION_TRIES = 8  # customers looked at for each one that is added


class CustomerTable:
    """The buckets of customers by plan and customer, those used longest ago first.

    Beyond `max_count`, the customer used longest ago is evicted. One in use is never evicted, so that the
    table may hold as many more as there are open requests.
    """

    def __init__(self, max_count: int):
        self._max_count = max_count
        self.buckets: OrderedDict[tuple[str, str], Bucket] = OrderedDict()

    def get(self, plan_name: str, customer: str, now: float) -> Bucket | None:
        """Returns a customer's bucket, which counts as used at `now` (ms), or None for an unknown one."""
        key = plan_name, customer
        bucket = self.buckets.get(key)
        if bucket is not None:
            self.buckets.move_to_end(key)
            bucket.last_used_at = now
        return bucket

    def add(self, bucket: Bucket) -> list[Bucket]:
        """Adds the bucket of an unknown customer; returns those that are evicted for it."""
        evicted = []
        for _ in range(MAX_EVICTION_TRIES):
            if len(self.buckets) < self._max_count:
                break
            key, oldest = next(iter(self.buckets.items()))
            if oldest.is_in_use():
                self.buckets.move_to_end(key)
            else:
                del self.buckets[key]
                evicted.append(oldest)
        self.buckets[bucket.plan.name, bucket.key] = bucket
        return evicted

    def sweep(self, now: float) -> None:
        """Drops customers that have been idle for too long at `now`, in ms."""
        for key in [key for key, bucket in self.buckets.items() if _is_expired(bucket, now)]:
            del self.buckets[key]


def _is_expired(bucket: Bucket, now: float) -> bool:
    max_idle_ms = FILLED_IDLE_MS if bucket.is_filled else max(IDLE_MS, 2 * bucket.fill_ms)
    return now - bucket.last_used_at > max_idle_ms and not bucket.is_in_use()
