"""What clients, upstreams and the run of a site soak have seen.

All times are seconds on the monotonic clock of the run.
"""

import enum
from typing import NamedTuple


class ArrivalEnd(enum.Enum):
    """How the work of an upstream on a request has ended."""

    WORKING = "working"
    ANSWERED = "answered"
    CLOSED_BY_SENDER = "closed by sender"
    TURNED_AWAY = "turned away"
    BROKEN_OFF = "broken off"


class Arrival:
    """One request that reached an upstream.

    Attributes:
        attempt: Id of the attempt.
        service: Name of the upstream's service.
        upstream: Id of the upstream, which differs for each of its starts.
        arrived_s: Time of arrival.
        deadline_ms: Time budget that was passed on, or None.
        end: How it has ended.
        ended_s: When it has ended; infinity until then.
    """

    def __init__(
        self,
        attempt: str,
        service: str,
        upstream: str,
        arrived_s: float,
        deadline_ms: int | None,
    ) -> None:
        self.attempt = attempt
        self.service = service
        self.upstream = upstream
        self.arrived_s = arrived_s
        self.deadline_ms = deadline_ms
        self.end = ArrivalEnd.WORKING
        self.ended_s = float("inf")

    def finish(self, end: ArrivalEnd, ended_s: float) -> None:
        """Sets how and when the work has ended, unless it has already."""
        if self.end == ArrivalEnd.WORKING:
            self.end, self.ended_s = end, ended_s


class Request(NamedTuple):
    """One attempt of a client, and how it ended.

    Attributes:
        attempt: Id of the attempt.
        service: Service of its route.
        is_order: Whether it may run once at most.
        entry: Name of the entry instance.
        sent_s: When its last byte was sent.
        ended_s: When it was answered, closed or given up.
        budget_s: Time budget of the client.
        status: Status of the response; `CLOSED` if the connection ended without
            one, `GIVEN_UP` if the client closed it.
        is_kept: Whether the connection had answered a request before.
        is_behind: Whether it was sent before an earlier one was answered.
    """

    attempt: str
    service: str
    is_order: bool
    entry: str
    sent_s: float
    ended_s: float
    budget_s: float
    status: int
    is_kept: bool
    is_behind: bool


# Not 0, which a response may have as its status.
CLOSED = -2
GIVEN_UP = -1


class Event(NamedTuple):
    """Something that was done to a process.

    Attributes:
        process: Name of the process.
        kind: `SIGTERM`, `SIGHUP`, `SIGKILL`, `SIGSTOP`, `SIGCONT` or `start`.
        at_s: When it was done.
    """

    process: str
    kind: str
    at_s: float


class Record:
    """Everything that a run has seen.

    Attributes:
        arrivals: Requests at upstreams.
        requests: Requests of clients.
        events: What was done to processes.
        crashes: Time of each crash by the path that caused it.
        faults: Ends of processes and use of memory that nothing explains.
    """

    def __init__(self) -> None:
        self.arrivals: list[Arrival] = []
        self.requests: list[Request] = []
        self.events: list[Event] = []
        self.crashes: dict[str, list[float]] = {}
        self.crashing_attempts: dict[str, list[str]] = {}
        self.faults: list[str] = []
