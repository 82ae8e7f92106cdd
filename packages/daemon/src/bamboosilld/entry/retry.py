"""When a request may be sent again by this instance."""

from typing import NamedTuple

from bamboosilld.entry import faults

# Attempts after which a request that certainly did not run is given back.
MAX_ATTEMPTS = 5
# A request that may have run is sent at most once more.
MAX_UNSURE_ATTEMPTS = 2


class Rule(NamedTuple):
    """How a request is sent again.

    Attributes:
        fresh: On a new connection.
        backoff: After a random delay that grows with the attempts.
        reroute: After routes have changed, or a short wait.
        budget: Only with a retry from the budget.
        hold: For as long as a request waits for the end of a move, whatever
            the number of attempts; nothing was written in any of them.
    """

    fresh: bool = False
    backoff: bool = False
    reroute: bool = False
    budget: bool = True
    hold: bool = False


# Faults not listed here are not retried.
_NOT_RUN_RULES = {
    # The connection had been closed while idle; this costs nobody anything.
    "closed": Rule(budget=False),
    # The route changed between the choice and the write.
    "moved": Rule(reroute=True, budget=False),
    # The address belongs to another process; the route follows once that one
    # announces itself or the loss of the former one is detected.
    "identity": Rule(reroute=True, budget=False, hold=True),
    "identity-silent": Rule(fresh=True),
    "stale-fence": Rule(reroute=True),
    "shed": Rule(backoff=True),
    "refused": Rule(reroute=True, backoff=True),
    "connect": Rule(reroute=True, backoff=True),
}
_UNSURE_RULES = {
    "broken": Rule(fresh=True),
    "truncated": Rule(fresh=True),
    "crossed": Rule(fresh=True),
    "malformed": Rule(fresh=True),
    # The budget was asked before the exchange was given up.
    "silent": Rule(fresh=True, budget=False),
}


def find_rule(
    fault: faults.Fault, repeatable: bool, suspected: bool, attempts: int
) -> Rule | None:
    """Returns how to send a request again, or None if it must not be.

    Args:
        fault: How the last attempt ended.
        repeatable: Whether the operation may run more than once.
        suspected: Whether an upstream crashed while the request ran there.
        attempts: Attempts made so far.
    """
    if not fault.may_have_run:
        rule = _NOT_RUN_RULES.get(fault.code)
        if rule is not None and not rule.hold and attempts >= MAX_ATTEMPTS:
            return None
        return rule
    if not repeatable or suspected or attempts >= MAX_UNSURE_ATTEMPTS:
        return None
    return _UNSURE_RULES.get(fault.code)
