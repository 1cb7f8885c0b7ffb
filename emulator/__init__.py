"""Emulation of whole gateways in virtual time.

`play` runs the gateway's own network code against simulated clients, backends, counter service and discovery.
The same options and seed give the same run.
"""

from .faults import Fault
from .world import Options, Record, play

__all__ = ["Fault", "Options", "Record", "play"]
