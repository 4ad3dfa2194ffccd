"""With a client and a server that were not written here (aio-msgpack-rpc)."""

from __future__ import annotations

import asyncio
from typing import Any

import aio_msgpack_rpc
import pytest
from aio_msgpack_rpc.error import RPCResponseError

from tests.rpc.stubs import rpc_world
from tests.stubs import HOST, row, run


class Service:
    """What the other library's server offers."""

    def __init__(self) -> None:
        self.ran: list[Any] = []

    async def look(self, what: str, told: dict[str, Any]) -> dict[str, Any]:
        await asyncio.sleep(0)
        return {"what": what, "id": told["id"]}

    async def book(self, what: str, told: dict[str, Any]) -> str:
        self.ran.append(told["id"])
        if what == "fail":
            raise RuntimeError("on purpose")
        return "booked"


def test_a_client_and_a_server_from_the_registry_get_on_with_both_sides() -> None:
    async def main() -> None:
        service = Service()
        server = await asyncio.start_server(aio_msgpack_rpc.Server(service), HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with rpc_world(row("a", address)) as w:
            client = aio_msgpack_rpc.Client(*await asyncio.open_connection(*w.address))
            asked = [client.call("look", f"w{i}", {"id": f"l{i}"}) for i in range(50)]
            told = await asyncio.wait_for(asyncio.gather(*asked), 20.0)
            assert [(t["what"], t["id"]) for t in told] == [(f"w{i}", f"l{i}") for i in range(50)]
            assert await client.call("book", "kampaus", {"id": "b1"}) == "booked"
            with pytest.raises(RPCResponseError) as caught:
                await client.call("book", "fail", {"id": "b2"})
            assert "failed" in str(caught.value)
            assert service.ran == ["b1", "b2"], "a booking that failed was sent again"
            await client.notify("book", "note", {"id": "b3"})
            while "b3" not in service.ran:
                await asyncio.sleep(0)
            client.close()
        server.close()

    run(main())
