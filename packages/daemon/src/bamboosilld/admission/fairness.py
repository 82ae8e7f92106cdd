"""Queue of waiting requests: class priority, then fair among customers.

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
# Minimum fraction of the dispatches that a class gets while it has waiting
# requests, so that a flood of a higher class cannot starve it.
MIN_DISPATCH_FRACTION = {COUNTER: 0.0, WAIT: 0.1, LAG: 0.05}


class Waiter:
    """A request that waits for an upstream.

    Attributes:
        customer: Name of the customer.
        class_: `counter`, `wait` or `lag`.
        deadline_s: Monotonic time by which it must be dispatched.
        arrived_s: Monotonic time at which it began to wait.
        decided: Called when it is dispatched or refused.
        dispatched: Whether it has been dispatched.
        refused: The refusal, if it was refused.
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
        traffic_class: str,
        arrived_s: float,
        deadline_s: float,
        decided: Callable[["Waiter"], None] | None = None,
    ) -> None:
        self.customer = customer
        self.class_ = traffic_class if traffic_class in CLASSES else LAG
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.decided = decided
        self.dispatched = False
        self.refused: refusal.Refusal | None = None


class _ClassQueue:
    """Start-time fair queue of one class, with a FIFO per customer."""

    def __init__(self) -> None:
        self.fifos: dict[str, collections.deque[Waiter]] = {}
        self._weights: dict[str, float] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def push(self, waiter: Waiter, weight: float) -> None:
        """Appends a request to its customer's FIFO."""
        fifo = self.fifos.get(waiter.customer)
        if fifo is None:
            fifo = self.fifos[waiter.customer] = collections.deque()
            # A customer that was idle starts at the current virtual time: it
            # neither accumulates dispatches nor is charged for old ones.
            start_tag = self._start_tags.get(waiter.customer, 0.0)
            self._start_tags[waiter.customer] = max(
                start_tag, self._virtual_time
            )
        self._weights[waiter.customer] = max(weight, 1e-6)
        fifo.append(waiter)

    def pop(self) -> Waiter:
        """Removes the request with the smallest start tag."""
        customer = min(
            self.fifos, key=lambda item: (self._start_tags[item], item)
        )
        self._virtual_time = self._start_tags[customer]
        self._start_tags[customer] += 1.0 / self._weights[customer]
        return self._pop_first(customer)

    def _pop_first(self, customer: str) -> Waiter:
        fifo = self.fifos[customer]
        waiter = fifo.popleft()
        self._drop_if_empty(customer)
        return waiter

    def _drop_if_empty(self, customer: str) -> None:
        if not self.fifos[customer]:
            del self.fifos[customer]
        if not self.fifos:
            # Nothing is waiting: the old tags no longer matter.
            self._start_tags.clear()
            self._weights.clear()
            self._virtual_time = 0.0

    def count_ahead(self, customer: str, weight: float) -> float:
        """Estimates how many requests are dispatched before a new one."""
        own = len(self.fifos.get(customer, ()))
        turns = (own + 1) / max(weight, 1e-6)
        return own + sum(
            min(len(fifo), turns * self._weights[other])
            for other, fifo in self.fifos.items()
            if other != customer
        )

    def find_longest(self) -> tuple[float, str]:
        """Returns the largest FIFO length per weight, and its customer."""
        return max(
            (len(fifo) / self._weights[customer], customer)
            for customer, fifo in self.fifos.items()
        )

    def drop_newest(self, customer: str) -> Waiter:
        """Removes the newest request of a customer."""
        waiter = self.fifos[customer].pop()
        self._drop_if_empty(customer)
        return waiter

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request; returns whether it was waiting here."""
        fifo = self.fifos.get(waiter.customer)
        if fifo is None or waiter not in fifo:
            return False
        fifo.remove(waiter)
        self._drop_if_empty(waiter.customer)
        return True


class FairQueue:
    """Queue of the requests that wait for one upstream."""

    def __init__(self) -> None:
        self._classes = {item: _ClassQueue() for item in CLASSES}
        self._credits = dict.fromkeys(CLASSES, 0.0)
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._classes.values():
            for fifo in queue.fifos.values():
                yield from fifo

    def push(self, waiter: Waiter, weight: float) -> None:
        """Adds a request."""
        self._classes[waiter.class_].push(waiter, weight)
        self._size += 1

    def pop(self) -> Waiter:
        """Removes and returns the request to dispatch next.

        The highest class goes first, unless a lower class has accumulated
        credit for one dispatch.
        """
        waiting = [item for item in CLASSES if self._classes[item].fifos]
        chosen = next(
            (item for item in reversed(waiting) if self._credits[item] >= 1.0),
            waiting[0],
        )
        for item in CLASSES:
            if item == chosen or item not in waiting:
                self._credits[item] = 0.0
            else:
                self._credits[item] += MIN_DISPATCH_FRACTION[item]
        self._size -= 1
        return self._classes[chosen].pop()

    def drop_newest_of_longest(self) -> Waiter:
        """Removes the newest request of the longest FIFO.

        It is taken from the lowest class with waiting requests.
        """
        lowest_class = next(
            item for item in reversed(CLASSES) if self._classes[item].fifos
        )
        queue = self._classes[lowest_class]
        self._size -= 1
        return queue.drop_newest(queue.find_longest()[1])

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request; returns whether it was waiting."""
        found = self._classes[waiter.class_].remove(waiter)
        self._size -= found
        return found

    def count_ahead(
        self, traffic_class: str, customer: str, weight: float
    ) -> float:
        """Estimates how many requests are dispatched before a new one.

        Of other customers' requests in the same class, only those count that
        fair queueing dispatches first.
        """
        ahead = 0.0
        for item in CLASSES:
            queue = self._classes[item]
            if item == traffic_class:
                return ahead + queue.count_ahead(customer, weight)
            ahead += sum(len(fifo) for fifo in queue.fifos.values())
        return ahead
