"""Messages between gateways: senders are known by address, and neither direction exceeds 256 bytes."""

import asyncio
import socket
from types import SimpleNamespace

from world import HOST, Backend, World, free_port, request, run, wait_until

from cobaltline import interface as io
from elderhub.peers import Peers

DATAGRAM = socket.SOCK_DGRAM


def config(own_port, other_ports, broadcast_port=None):
    return SimpleNamespace(
        peers=((HOST, own_port), *(("127.0.0.1", port) for port in other_ports)),
        peers_all=("127.0.0.1", broadcast_port) if broadcast_port else None,
        settings=io.Settings(node_id=0),
    )


async def endpoint(peers, port):
    return await asyncio.get_running_loop().create_datagram_endpoint(lambda: peers, local_addr=(HOST, port))


def test_a_message_comes_with_its_senders_index_and_unknown_senders_are_ignored():
    async def scene():
        own_port, messages = free_port(DATAGRAM), []
        with socket.socket(type=DATAGRAM) as known, socket.socket(type=DATAGRAM) as stranger:
            for peer_socket in (known, stranger):
                peer_socket.bind(("127.0.0.1", 0))
            peers = Peers(config(own_port, [9, known.getsockname()[1]]), messages.append)
            transport, _ = await endpoint(peers, own_port)
            stranger.sendto(b"junk", (HOST, own_port))
            known.sendto(b"x" * 257, (HOST, own_port))
            known.sendto(b"", (HOST, own_port))
            known.sendto(b"hi", (HOST, own_port))
            await wait_until(lambda: messages and messages[-1].payload == b"hi")
            assert messages == [io.PeerMessage(2, b""), io.PeerMessage(2, b"hi")]
            transport.close()

    run(scene)


def test_a_message_goes_to_one_or_to_all_and_never_over_256_bytes():
    async def scene():
        own_port, sockets = free_port(DATAGRAM), [socket.socket(type=DATAGRAM) for _ in range(3)]
        for peer_socket in sockets:
            peer_socket.bind(("127.0.0.1", 0))
            peer_socket.settimeout(20)
        first, second, broadcast_port = (peer_socket.getsockname()[1] for peer_socket in sockets)
        loop = asyncio.get_running_loop()

        async def receive(peer_socket):
            return await loop.run_in_executor(None, peer_socket.recv, 1000)

        peers = Peers(config(own_port, [first, second]), lambda message: None)
        transport, _ = await endpoint(peers, own_port)
        peers.send(io.SendPeerMessage(b"x" * 257))
        peers.send(io.SendPeerMessage(b"two", 2))
        assert await receive(sockets[1]) == b"two"
        peers.send(io.SendPeerMessage(b"each"))
        assert [await receive(peer_socket) for peer_socket in sockets[:2]] == [b"each"] * 2
        transport.close()
        own_port = free_port(DATAGRAM)
        peers = Peers(config(own_port, [first, second], broadcast_port), lambda message: None)
        transport, _ = await endpoint(peers, own_port)
        peers.send(io.SendPeerMessage(b"all"))
        assert await receive(sockets[2]) == b"all"
        transport.close()
        for peer_socket in sockets:
            peer_socket.close()

    run(scene)


def test_with_the_counter_gone_a_home_gateway_is_asked_and_junk_does_no_harm():
    async def scene():
        async with World({"b1": Backend()}) as world:
            world.counter.server.close()
            for writer in world.counter.writers:
                writer.transport.abort()
            for junk in (b"", b"junk", b"\x01\x02" + bytes(250)):
                world.peer.transport.sendto(junk, (HOST, world.peer_listen_port))
            for i in range(8):  # some of these customers have the other gateway as their home
                customer = f"{i:016x}"
                asyncio.create_task(world.call(request(plan="basic", customer=customer, X_Timeout="2")))
            data, sender = await world.peer.received.get()
            assert 0 < len(data) <= 256 and sender == (HOST, world.peer_listen_port)
            assert (await world.call(request())).status == 200
            assert "Traceback" not in world.log.read_text()

    run(scene)
