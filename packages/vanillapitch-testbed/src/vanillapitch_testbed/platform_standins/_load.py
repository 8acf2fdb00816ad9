"""Load at a constant rate, and counts of what arrived of it."""

import asyncio
import bisect
import dataclasses
from collections.abc import Awaitable, Callable, Sequence

from vanillapitch_testbed.platform_standins._caller import CallerResponse

__all__ = ["OfferedRequest", "count_most_in_window", "offer_load"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferedRequest:
    """A request of `offer_load`.

    Attributes
    ----------
    target : str
        Its path.
    response : CallerResponse
        Its response.
    took_s : float
        Time until the response was complete.
    """

    target: str
    response: CallerResponse
    took_s: float


async def offer_load(
    call: Callable[[int, str], Awaitable[CallerResponse]],
    *,
    per_s: float,
    seconds: float,
    targets: Sequence[str],
) -> list[OfferedRequest]:
    """Send requests at a constant rate, whatever becomes of them.

    Parameters
    ----------
    call : callable
        Sends a request, from its number and target.
    per_s : float
        Requests per second.
    seconds : float
        Duration of the load.
    targets : sequence of str
        Targets in turn.

    Returns
    -------
    list of OfferedRequest
        All requests; those whose connection failed are left out.
    """
    loop = asyncio.get_running_loop()

    async def send(number: int) -> OfferedRequest:
        target = targets[number % len(targets)]
        sent_s = loop.time()
        response = await call(number, target)
        return OfferedRequest(
            target=target, response=response, took_s=loop.time() - sent_s
        )

    tasks = []
    for number in range(int(per_s * seconds)):
        tasks.append(loop.create_task(send(number)))
        await asyncio.sleep(1.0 / per_s)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        if not isinstance(result, (OfferedRequest, OSError, TimeoutError)):
            raise result
    return [result for result in results if isinstance(result, OfferedRequest)]


def count_most_in_window(times_s: Sequence[float], window_s: float) -> int:
    """Return the largest number of events in any window of a length.

    Parameters
    ----------
    times_s : sequence of float
        Times of the events, in order.
    window_s : float
        Length of the window.
    """
    return max(
        (
            bisect.bisect_left(times_s, start_s + window_s) - position
            for position, start_s in enumerate(times_s)
        ),
        default=0,
    )
