"""Datagrams between gateways, over UDP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cobaltline import interface as io

from .config import Config
from .wire import Address

log = logging.getLogger(__name__)

MAX_PAYLOAD_BYTES = 256


class Peers(asyncio.DatagramProtocol):
    """Sends and receives messages of up to MAX_PAYLOAD_BYTES; those of unknown senders are ignored."""

    def __init__(self, config: Config, on_message: Callable[[io.PeerMessage], None]):
        self._peers, self._broadcast_address, self._node_id = (
            config.peers,
            config.peers_all,
            config.settings.node_id,
        )
        self._index_by_address: dict[Address, int] = {peer: index for index, peer in enumerate(config.peers)}
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        sender = self._index_by_address.get(addr[:2])
        if sender is not None and sender != self._node_id and len(data) <= MAX_PAYLOAD_BYTES:
            self._on_message(io.PeerMessage(sender, data))

    def error_received(self, error: OSError) -> None:
        """Ignores the error of a peer that is down, as messages may be lost."""

    def send(self, action: io.SendPeerMessage) -> None:
        """Sends a message to one peer, or to all, over the broadcast address if there is one."""
        if self._transport is None or self._transport.is_closing():
            return
        if len(action.payload) > MAX_PAYLOAD_BYTES:
            log.error("dropping a message of %d bytes to a peer: over the limit", len(action.payload))
        elif action.to is None and self._broadcast_address is not None:
            self._transport.sendto(action.payload, self._broadcast_address)
        else:
            for index, peer in enumerate(self._peers):
                if index == action.to or action.to is None and index != self._node_id:
                    self._transport.sendto(action.payload, peer)
