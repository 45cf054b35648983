"""Runs the collector as a process: its log, its signals, its end."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from typing import Any

import structlog

from ..transport.scheduler import Clock, Scheduler
from ..usage_metering.collector import Collector
from ..usage_metering.journal import Journal, JournalError
from ..usage_metering.plan import CollectorPlan


def logger() -> Any:
    """Key=value lines on standard error."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def run(
    plan: CollectorPlan, make: Callable[[Scheduler, CollectorPlan, Journal, Any], Collector] = Collector
) -> int:
    """Collect until told to leave; 0, or 1 if the address can't be listened on."""
    log, scheduler = logger(), Scheduler(Clock())
    journal = Journal(plan.book, plan.calendar)
    try:
        collector = make(scheduler, plan, journal, log)
    except OSError as trouble:
        raise JournalError(f"listen: {plan.listen[0]}:{plan.listen[1]}: {trouble.strerror}") from None

    def send_frame() -> None:
        log.info(
            "counters", connections_open=len(collector.connections), **dict(sorted(collector.counts.items()))
        )

    for number in (signal.SIGTERM, signal.SIGINT):
        scheduler.on_signal(number, scheduler.stop)
    scheduler.on_signal(signal.SIGUSR1, send_frame)
    log.info("collecting", listen=f"{plan.listen[0]}:{plan.listen[1]}", journal=str(plan.book))
    scheduler.run()
    collector.close()
    send_frame()
    return 0
