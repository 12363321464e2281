"""How the first members form a group.

Replica IDs are random, so the first member list can't stand in the settings.
The replica whose address comes first in `bootstrap` asks all others for their
IDs. Only when every one of them answers that it belongs to no group does it
write the first entry, the member list. A replica that lost its data folder
therefore never forms a second group: some other replica answers that a group
exists, and an operator must add the replica under its new ID.
"""

import asyncio
from typing import Final

from bamboorouter import clock
from bamboorouter import errors
from bamboorouter import events
from bamboorouter.protocol import membership
from bamboorouter.protocol import messages
from bamboorouter.transport import link

ASK_PAUSE_MS: Final = 200
ASK_TIMEOUT_MS: Final = 1000


async def first_members(
    *, group: str, replica_id: str, address: str, bootstrap: tuple[str, ...]
) -> membership.Members | None:
    """Asks the other first members until all have answered.

    Returns:
        The first member list; None if a group exists already.
    """
    others = [other for other in bootstrap if other != address]
    while True:
        # All answers must be from one round: an older one may be from a
        # replica that has lost its folder or joined a group since.
        answers = await asyncio.gather(
            *(_ask(group=group, address=other) for other in others)
        )
        known = [answer for answer in answers if answer is not None]
        if any(answer.formed for answer in known):
            events.log(events.WAITING_TO_JOIN, replica=replica_id)
            return None
        if len(known) == len(others):
            break
        await asyncio.sleep(clock.seconds(ASK_PAUSE_MS))
    found = {
        other: answer.replica
        for other, answer in zip(others, known, strict=True)
    }
    found[address] = replica_id
    return membership.Members(
        members=tuple(
            membership.Member(id=found[member], address=member, voter=True)
            for member in bootstrap
        )
    )


async def _ask(*, group: str, address: str) -> messages.Identity | None:
    try:
        opened = await link.open_link(
            address=address, timeout_ms=ASK_TIMEOUT_MS
        )
    except errors.RouterError:
        return None
    try:
        reply = await opened.request(
            messages.Identify(group=group), timeout_ms=ASK_TIMEOUT_MS
        )
    except errors.RouterError:
        return None
    finally:
        await opened.close()
    return reply if isinstance(reply, messages.Identity) else None
