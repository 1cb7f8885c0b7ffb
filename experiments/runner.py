"""Carries out all runs of an experiment in parallel and writes their records into a results folder."""

from __future__ import annotations

import signal
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from concurrent.futures.process import BrokenProcessPool
from multiprocessing import get_context
from time import monotonic

from .plan import Experiment
from .play import Run, Stopped, play
from .results import ResultsWriter

DEFAULT_PROCESSES = 4  # parallel runs; each takes one core and several hundred MB
MAX_PROCESSES = 64
SIGNALS = (signal.SIGINT, signal.SIGTERM)
POLL_INTERVAL_S = 0.2  # between two checks for an interrupt

_stop_event = None  # in a worker process: the event that stops its run


def _init_worker(stop) -> None:
    """Initialises a worker process, which leaves the handling of interrupts to its parent."""
    global _stop_event
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    _stop_event = stop


def _play_with_time(run: Run) -> tuple[dict, float]:
    started_s = monotonic()
    return play(run, _stop_event.is_set), monotonic() - started_s


def _describe(run: Run) -> str:
    return f"{run.point}, seed {run.seed}{'' if run.faulted else ', without faults'}"


def run_all(
    experiment: Experiment, writer: ResultsWriter, processes: int, progress: Callable[[str], None]
) -> bool:
    """Carries out all runs; returns False if it was interrupted (SIGINT or SIGTERM).

    An interrupt stops the current runs; finished ones are kept. Must be called from the main thread.
    `progress` receives a line of text for each run.

    The writer receives each record when its run ends and is closed at the end. A run that fails is noted in
    the state of the results, and the others continue.
    """
    context = get_context()
    stop = context.Event()
    interrupts: list[int] = []
    previous_handlers = {
        handled: signal.signal(handled, lambda number, _: interrupts.append(number)) for handled in SIGNALS
    }
    try:
        with ProcessPoolExecutor(processes, context, _init_worker, (stop,)) as pool:
            futures = {pool.submit(_play_with_time, run): run for run in experiment.runs}
            pending = set(futures)
            while pending and not interrupts:
                done, pending = wait(pending, POLL_INTERVAL_S, FIRST_COMPLETED)
                for future in done:
                    _record_result(future, futures[future], writer, progress)
            if interrupts:
                progress("interrupted: the records of finished runs are kept")
                stop.set()
                pool.shutdown(wait=True, cancel_futures=True)
                for future in pending:
                    if not future.cancelled() and not isinstance(future.exception(), Stopped):
                        _record_result(future, futures[future], writer, progress)
    finally:
        writer.close()
        for signal_number, handler in previous_handlers.items():
            signal.signal(signal_number, handler)
    return not interrupts


def _record_result(future: Future, run: Run, writer: ResultsWriter, progress: Callable[[str], None]) -> None:
    try:
        record, elapsed_s = future.result()
    except BrokenProcessPool as error:
        writer.add_failure(f"{_describe(run)}: its process ended unexpectedly: {error}")
    except Exception as error:  # the other runs continue, whatever this one raises
        writer.add_failure(f"{_describe(run)}: {type(error).__name__}: {error}")
        progress(f"failed: {writer.state['failed'][-1]}")
    else:
        writer.add(record)
        progress(f"{writer.state['ended']} of {writer.state['runs']}: {_describe(run)}, in {elapsed_s:.1f} s")
