"""All runs of an experiment, over the cores, into a results folder."""

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

DEFAULT_PROCESSES = 4  # runs side by side: each takes a core and some hundred MB
MAX_PROCESSES = 64
SIGNALS = (signal.SIGINT, signal.SIGTERM)
LOOK_S = 0.2  # between two looks for an interrupt

_stop = None  # in a worker: the event that ends its run


def _begin(stop) -> None:
    """A worker leaves interrupts to the process that started it."""
    global _stop
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    _stop = stop


def _play(run: Run) -> tuple[dict, float]:
    began = monotonic()
    return play(run, _stop.is_set), monotonic() - began


def _name(run: Run) -> str:
    return f"{run.point}, seed {run.seed}{'' if run.faulted else ', without faults'}"


def run_all(
    experiment: Experiment, writer: ResultsWriter, processes: int, progress: Callable[[str], None]
) -> bool:
    """Play every run; whether no interrupt (SIGINT or SIGTERM) came. It ends the runs in work, and what has
    ended is kept. To be called from the main thread.

    The writer gets each record as its run ends, and is closed. A run that fails is told and kept in the
    results' state; the others go on.
    """
    context = get_context()
    stop = context.Event()
    interrupts: list[int] = []
    before = {s: signal.signal(s, lambda number, _: interrupts.append(number)) for s in SIGNALS}
    try:
        with ProcessPoolExecutor(processes, context, _begin, (stop,)) as pool:
            calls = {pool.submit(_play, run): run for run in experiment.runs}
            left = set(calls)
            while left and not interrupts:
                done, left = wait(left, LOOK_S, FIRST_COMPLETED)
                for call in done:
                    _keep(call, calls[call], writer, progress)
            if interrupts:
                progress("interrupted: what has ended is kept")
                stop.set()
                pool.shutdown(wait=True, cancel_futures=True)
                for call in left:
                    if not call.cancelled() and not isinstance(call.exception(), Stopped):
                        _keep(call, calls[call], writer, progress)
    finally:
        writer.close()
        for number, handler in before.items():
            signal.signal(number, handler)
    return not interrupts


def _keep(call: Future, run: Run, writer: ResultsWriter, progress: Callable[[str], None]) -> None:
    try:
        record, took = call.result()
    except BrokenProcessPool as error:
        writer.add_failure(f"{_name(run)}: its process ended: {error}")
    except Exception as error:  # whatever a run may raise: told, and the others go on
        writer.add_failure(f"{_name(run)}: {type(error).__name__}: {error}")
        progress(f"failed: {writer.state['failed'][-1]}")
    else:
        writer.add(record)
        progress(f"{writer.state['ended']} of {writer.state['runs']}: {_name(run)}, in {took:.1f} s")
