"""Order of waiting requests: class priority, then fair by customer.

Within a class, start-time fair queueing (Goyal, Vin and Cheng, "Start-time
fair queueing", SIGCOMM 1996) shares dispatches by customer weight.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator

from bamboosilld.admission import refusal

COUNTER = "counter"
WAIT = "wait"
LAG = "lag"
CLASSES = (COUNTER, WAIT, LAG)
# Least part of the dispatches that a class gets while it waits, so that a
# flood of a higher class cannot stop it for good.
LEAST_PART = {COUNTER: 0.0, WAIT: 0.1, LAG: 0.05}


class Waiter:
    """One request that waits for an upstream.

    Attributes:
        customer: Name of the customer.
        class_: `counter`, `wait` or `lag`.
        deadline_s: Monotonic time by which it must be dispatched.
        arrived_s: Monotonic time at which it began to wait.
        decided: Called when it is dispatched or refused.
        dispatched: Whether it has been dispatched.
        refused: Set when it was refused.
    """

    __slots__ = (
        "arrived_s",
        "class_",
        "customer",
        "deadline_s",
        "decided",
        "dispatched",
        "refused",
    )

    def __init__(
        self,
        customer: str,
        class_: str,
        arrived_s: float,
        deadline_s: float,
        decided: Callable[["Waiter"], None] | None = None,
    ) -> None:
        self.customer = customer
        self.class_ = class_ if class_ in CLASSES else LAG
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.decided = decided
        self.dispatched = False
        self.refused: refusal.Refusal | None = None


class _ClassQueue:
    """Fair queue of one class: one line per customer."""

    def __init__(self) -> None:
        self.lines: dict[str, collections.deque[Waiter]] = {}
        self._weights: dict[str, float] = {}
        self._tags: dict[str, float] = {}
        self._virtual = 0.0

    def push(self, waiter: Waiter, weight: float) -> None:
        """Adds a request at the end of its customer's line."""
        line = self.lines.get(waiter.customer)
        if line is None:
            line = self.lines[waiter.customer] = collections.deque()
            # An idle customer starts at the present virtual time: it neither
            # saves up dispatches nor pays for old ones.
            tag = self._tags.get(waiter.customer, 0.0)
            self._tags[waiter.customer] = max(tag, self._virtual)
        self._weights[waiter.customer] = max(weight, 1e-6)
        line.append(waiter)

    def pop(self) -> Waiter:
        """Removes the request with the smallest start tag."""
        customer = min(self.lines, key=lambda item: (self._tags[item], item))
        self._virtual = self._tags[customer]
        self._tags[customer] += 1.0 / self._weights[customer]
        return self._remove_first(customer)

    def _remove_first(self, customer: str) -> Waiter:
        line = self.lines[customer]
        waiter = line.popleft()
        self._drop_if_empty(customer)
        return waiter

    def _drop_if_empty(self, customer: str) -> None:
        if not self.lines[customer]:
            del self.lines[customer]
        if not self.lines:
            # Nobody waits: old tags carry no claim.
            self._tags.clear()
            self._weights.clear()
            self._virtual = 0.0

    def count_ahead(self, customer: str, weight: float) -> float:
        """Returns about how many requests go before a customer's next."""
        own = len(self.lines.get(customer, ()))
        turns = (own + 1) / max(weight, 1e-6)
        return own + sum(
            min(len(line), turns * self._weights[other])
            for other, line in self.lines.items()
            if other != customer
        )

    def find_longest(self) -> tuple[float, str]:
        """Returns the longest line relative to its weight."""
        return max(
            (len(line) / self._weights[customer], customer)
            for customer, line in self.lines.items()
        )

    def drop_newest(self, customer: str) -> Waiter:
        """Removes the newest request of a customer."""
        waiter = self.lines[customer].pop()
        self._drop_if_empty(customer)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Removes one request; returns whether it waited here."""
        line = self.lines.get(waiter.customer)
        if line is None or waiter not in line:
            return False
        line.remove(waiter)
        self._drop_if_empty(waiter.customer)
        return True


class FairQueue:
    """Requests that wait for one upstream."""

    def __init__(self) -> None:
        self._classes = {item: _ClassQueue() for item in CLASSES}
        self._credit = dict.fromkeys(CLASSES, 0.0)
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._classes.values():
            for line in queue.lines.values():
                yield from line

    def push(self, waiter: Waiter, weight: float) -> None:
        """Adds a request."""
        self._classes[waiter.class_].push(waiter, weight)
        self._size += 1

    def pop(self) -> Waiter:
        """Removes the request that is to be dispatched next."""
        waiting = [item for item in CLASSES if self._classes[item].lines]
        chosen = next(
            (item for item in reversed(waiting) if self._credit[item] >= 1.0),
            waiting[0],
        )
        for item in CLASSES:
            if item == chosen or item not in waiting:
                self._credit[item] = 0.0
            else:
                self._credit[item] += LEAST_PART[item]
        self._size -= 1
        return self._classes[chosen].pop()

    def drop_excess(self) -> Waiter:
        """Removes the newest request of the longest line.

        The lowest class that waits pays first.
        """
        lowest = next(
            item for item in reversed(CLASSES) if self._classes[item].lines
        )
        queue = self._classes[lowest]
        self._size -= 1
        return queue.drop_newest(queue.find_longest()[1])

    def remove(self, waiter: Waiter) -> bool:
        """Removes one request; returns whether it waited."""
        found = self._classes[waiter.class_].remove(waiter)
        self._size -= found
        return found

    def count_ahead(self, class_: str, customer: str, weight: float) -> float:
        """Returns about how many requests are dispatched before a new one.

        Of the other customers' lines in the same class only the part counts
        that fair queueing dispatches first.
        """
        ahead = 0.0
        for item in CLASSES:
            queue = self._classes[item]
            if item == class_:
                return ahead + queue.count_ahead(customer, weight)
            ahead += sum(len(line) for line in queue.lines.values())
        return ahead
