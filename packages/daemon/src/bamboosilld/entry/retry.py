"""Rules for retrying a request after a failed attempt."""

from typing import NamedTuple

from bamboosilld.entry import faults

# Attempts after which a request that certainly did not run is rejected.
MAX_ATTEMPTS = 5
# A request that may have run is retried at most once.
MAX_UNKNOWN_OUTCOME_ATTEMPTS = 2


class RetryRule(NamedTuple):
    """How a request is retried.

    Attributes:
        new_connection: On a new connection instead of an idle one.
        backoff: After a random delay that grows with each attempt.
        reroute: After routes have changed, or a short timeout.
        budget: Only if the retry budget of the customer allows it.
        hold: For as long as a request may wait for a key to be moved,
            regardless of the number of attempts; none of them wrote
            anything.
    """

    new_connection: bool = False
    backoff: bool = False
    reroute: bool = False
    budget: bool = True
    hold: bool = False


# Fault codes not listed below are not retried.
_NOT_RUN_RULES = {
    # An idle connection was closed by the peer. The retry adds no load, so it
    # takes nothing from the budget.
    "closed": RetryRule(budget=False),
    # The route changed between routing and writing.
    "moved": RetryRule(reroute=True, budget=False),
    # Another process listens on the address. The route is updated once that
    # process announces itself or the loss of the former one is detected.
    "identity": RetryRule(reroute=True, budget=False, hold=True),
    "identity-silent": RetryRule(new_connection=True),
    # A faulty upstream may repeat a rejection, which has the id of the retry.
    "stale-fence": RetryRule(new_connection=True, reroute=True),
    "shed": RetryRule(new_connection=True, backoff=True),
    "refused": RetryRule(reroute=True, backoff=True),
    "connect": RetryRule(reroute=True, backoff=True),
}
_MAY_HAVE_RUN_RULES = {
    "broken": RetryRule(new_connection=True),
    "truncated": RetryRule(new_connection=True),
    "crossed": RetryRule(new_connection=True),
    "malformed": RetryRule(new_connection=True),
    # The retry was taken from the budget when the exchange was abandoned.
    "silent": RetryRule(new_connection=True, budget=False),
}


def find_rule(
    fault: faults.Fault, repeatable: bool, crash_suspected: bool, attempts: int
) -> RetryRule | None:
    """Returns how to retry a request, or None if it must not be retried.

    Args:
        fault: Why the last attempt failed.
        repeatable: Whether the operation may run more than once.
        crash_suspected: Whether an upstream crashed while the request ran
            there.
        attempts: Attempts made so far.
    """
    if not fault.may_have_run:
        rule = _NOT_RUN_RULES.get(fault.code)
        if rule is not None and not rule.hold and attempts >= MAX_ATTEMPTS:
            return None
        return rule
    if (
        not repeatable
        or crash_suspected
        or attempts >= MAX_UNKNOWN_OUTCOME_ATTEMPTS
    ):
        return None
    return _MAY_HAVE_RUN_RULES.get(fault.code)
