"""Interoperability with an independent client and server (aio-msgpack-rpc)."""

from __future__ import annotations

import asyncio
from typing import Any

import aio_msgpack_rpc
import pytest
from aio_msgpack_rpc.error import RPCResponseError

from tests.rpc.stubs import rpc_environment
from tests.stubs import HOST, row, run


class Service:
    """The methods of the library's server."""

    def __init__(self) -> None:
        self.booked_ids: list[Any] = []

    async def look(self, item: str, metadata: dict[str, Any]) -> dict[str, Any]:
        await asyncio.sleep(0)
        return {"item": item, "id": metadata["id"]}

    async def book(self, item: str, metadata: dict[str, Any]) -> str:
        self.booked_ids.append(metadata["id"])
        if item == "fail":
            raise RuntimeError("on purpose")
        return "booked"


def test_independent_client_and_server_work_with_front_and_upstream() -> None:
    async def main() -> None:
        service = Service()
        server = await asyncio.start_server(aio_msgpack_rpc.Server(service), HOST, 0)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with rpc_environment(row("a", address)) as env:
            client = aio_msgpack_rpc.Client(*await asyncio.open_connection(*env.address))
            calls = [client.call("look", f"w{i}", {"id": f"l{i}"}) for i in range(50)]
            results = await asyncio.wait_for(asyncio.gather(*calls), 20.0)
            assert [(result["item"], result["id"]) for result in results] == [
                (f"w{i}", f"l{i}") for i in range(50)
            ]
            assert await client.call("book", "kampaus", {"id": "b1"}) == "booked"
            with pytest.raises(RPCResponseError) as caught:
                await client.call("book", "fail", {"id": "b2"})
            assert "failed" in str(caught.value)
            assert service.booked_ids == ["b1", "b2"], "a failed booking was repeated"
            await client.notify("book", "note", {"id": "b3"})
            while "b3" not in service.booked_ids:
                await asyncio.sleep(0)
            client.close()
        server.close()

    run(main())
