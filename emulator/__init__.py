"""Whole gateways in virtual time: `play` runs the program's own network code among stand-ins, from a seed."""

from .faults import Fault
from .world import Options, Record, play

__all__ = ["Fault", "Options", "Record", "play"]
