"""When a server with a result store says that it is up, while its folder is still being read."""

from __future__ import annotations

from math import inf
from pathlib import Path

import pytest
from simulated_server import FakeScheduler
from test_usage_metering import ManualWorkerThread

from sablewheel.overload.interface import Idempotency, RequestClass
from sablewheel.result_store.plan import ColdStartRule, ResultStorePlan
from sablewheel.result_store.recorder import Recorder
from sablewheel.serving.exchange import NO_OBSERVER
from sablewheel.transport.background import Background

READY_WITHIN_S = 10.0  # in which nine in ten servers have to be ready


def start(folder: Path, **plan_settings: object) -> tuple[Recorder, ManualWorkerThread]:
    """Return the recorder of a server that starts, and its worker, which has not read the folder yet."""
    scheduler, worker_thread = FakeScheduler(), ManualWorkerThread()
    recorder = Recorder(
        scheduler,
        Background(scheduler, lambda: 0),
        worker_thread,  # type: ignore[arg-type]
        ResultStorePlan(folder, **plan_settings),  # type: ignore[arg-type]
        b"incarn01",
        {b"record": RequestClass(Idempotency.KEYED, 0.5, 2.0, idempotency_window_s=6.0)},
        NO_OBSERVER,
        lambda _: None,
        lambda: None,
        lambda _: None,
        lambda _: None,
    )
    return recorder, worker_thread


def test_a_server_is_not_up_until_its_folder_is_read(tmp_path: Path) -> None:
    """It said that it was up, and the keyed requests that came failed at their deadlines."""
    recorder, worker_thread = start(tmp_path)
    assert recorder.up_at() == recorder.started_at + READY_WITHIN_S
    worker_thread.work()
    assert recorder.ready and recorder.up_at() == recorder.started_at


@pytest.mark.parametrize("settings", [{"interpreter_survives": True}, {"cold_start": ColdStartRule.WAIT}])
def test_a_folder_that_decides_how_to_start_is_awaited_without_limit(
    tmp_path: Path, settings: dict[str, object]
) -> None:
    recorder, worker_thread = start(tmp_path, **settings)
    assert recorder.up_at() == inf
    worker_thread.work()
    assert recorder.up_at() < inf
