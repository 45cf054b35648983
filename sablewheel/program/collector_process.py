"""Runs the collector as a process, with its log and signal handlers."""

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
    """Return a logger of key=value lines on standard error."""
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
    plan: CollectorPlan, build: Callable[[Scheduler, CollectorPlan, Journal, Any], Collector] = Collector
) -> int:
    """Collect until SIGTERM or SIGINT. Return the exit code.

    Raises:
        JournalError: The address can't be listened on.
    """
    log, scheduler = logger(), Scheduler(Clock())
    journal = Journal(plan.journal_path, plan.calendar)
    try:
        collector = build(scheduler, plan, journal, log)
    except OSError as error:
        raise JournalError(f"listen: {plan.listen[0]}:{plan.listen[1]}: {error.strerror}") from None

    def print_counters() -> None:
        log.info(
            "counters", connections_open=len(collector.connections), **dict(sorted(collector.counts.items()))
        )

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        scheduler.on_signal(signal_number, scheduler.stop)
    scheduler.on_signal(signal.SIGUSR1, print_counters)
    log.info("collecting", listen=f"{plan.listen[0]}:{plan.listen[1]}", book=str(plan.journal_path))
    scheduler.run()
    collector.close()
    print_counters()
    return 0
