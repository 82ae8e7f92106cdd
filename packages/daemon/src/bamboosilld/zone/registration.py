"""Registers this instance with the control group."""

from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common.generated import control

_CALL_TIMEOUT_S = 1.0
_RETRY_INTERVAL_S = 0.25

_log = logs.get_logger("zone")


class Registrar:
    """Sends the registration to control instances until one accepts it."""

    def __init__(
        self,
        item: control.InstanceItem,
        addresses: tuple[str, ...],
        directory: peer.Directory,
        clock: clock_lib.Clock,
    ) -> None:
        self._item = item
        self._addresses = addresses
        self._directory = directory
        self._clock = clock

    async def register(self) -> control.RegisterReply:
        """Returns the reply of the control leader; retries until accepted."""
        while True:
            reply = await self.register_once()
            if reply is not None:
                return reply
            await self._clock.sleep(_RETRY_INTERVAL_S)

    async def register_once(self) -> control.RegisterReply | None:
        """Asks each control instance once; returns an accepted reply."""
        for address in self._addresses:
            result = await self._directory.call(
                address,
                control.RegisterInstance(self._item),
                control.RegisterReply,
                _CALL_TIMEOUT_S,
            )
            match result:
                case Success(reply) if reply.accepted:
                    return reply
                case Success(reply):
                    _log.debug(
                        "Registration was refused. Reason: %s.", reply.detail
                    )
                case Failure(error):
                    _log.debug(
                        "Registration call failed. Reason: %s.", error.detail
                    )
        return None
