"""The decision module of a gateway that keeps each customer of a shared back end to its plan."""

from .gateway import Gateway
from .interface import Settings

__all__ = ["Gateway", "Settings"]
