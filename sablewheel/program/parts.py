"""Makes the features that are switched on, and only then imports them."""

from __future__ import annotations

import os
import random
from collections.abc import Callable

from ..ledger.keeper import Keeper
from ..routing.seam import Witness
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from .configuration import Posting
from .features import Features


class Parts:
    """The features of one server. Background work has its turns behind theirs."""

    def __init__(
        self,
        features: Features,
        posting: Posting,
        scheduler: Scheduler,
        moved: Callable[[], int],
        count: Callable[[str], None],
    ) -> None:
        assert features.ledger is not None
        self._background = Background(scheduler, moved)
        names = {one: name.decode("utf-8", "replace") for name, one in posting.customers.items()}
        incarnation = round(scheduler.clock.now * 1000).to_bytes(6, "big") + os.urandom(2)
        chance = random.Random(posting.seed).random
        self._keeper = Keeper(
            scheduler, self._background, features.ledger, posting.name, incarnation, names, chance, count
        )
        self.witness: Witness = self._keeper

    def end_round(self) -> None:
        self._keeper.end_round()
        self._background.end_round()

    def parting(self) -> None:
        self._keeper.parting()

    def settled(self) -> bool:
        return self._keeper.settled()

    def close(self, most: float) -> None:
        self._keeper.close(most)

    def gauges(self) -> dict[str, object]:
        return self._keeper.gauges()
