"""A version with an OpenAPI description: parsed by a separate process, activated between two requests or rejected."""

import asyncio
import json

from describing import described_routes

from fennelpoint.fleet.queries import FleetClient
from fennelpoint.testing import SETTINGS, Backend, Count, List, member, read_message
from fennelpoint.testing.ingress_harness import run
from fennelpoint.testing.process import Command, IngressProcess, free_port


def test_description_of_a_version_replaces_the_routes_and_a_faulty_one_changes_nothing(tmp_path):
    async def test() -> None:
        backend, count = Backend(), Count()
        discovery = List([member("s-0", await backend.start())])
        port, address = free_port(), free_port()
        operator, path = tmp_path / "operator.toml", tmp_path / "d.yaml"
        operator.write_text(f'[keeper]\nkeepers = ["k0=127.0.0.1:{port}"]\nfolder = "files"\n')
        path.write_text(described_routes("/a"))
        keeper = Command("fleet", "keep", "k0", "--config", operator, "--found", "r", "--licence-s", 1,
                         "--settle-s", 1)
        await keeper.start()
        ingress = IngressProcess(SETTINGS, await discovery.start(), await count.start(), path)
        ingress.add_section(f'[fleet]\nkeepers = ["k0=127.0.0.1:{port}"]\nlisten = "127.0.0.1:{address}"\n'
                            f"folder = {json.dumps(str(tmp_path / 'state'))}\n")
        fleet = FleetClient({"k0": ("127.0.0.1", port)})
        try:
            await ingress.start()

            async def status(target: str) -> str:
                reader, writer = await asyncio.open_connection(*ingress.address)
                writer.write((f"GET {target} HTTP/1.1\r\nHost: a\r\nX-Txn: {id(writer)}{target}\r\n"
                              "Api-Plan: basic\r\nCookie: account=0000000000000001\r\n"
                              "X-Remaining-Ms: 1500\r\n\r\n").encode())
                status_line, _, _ = await read_message(reader)
                writer.close()
                return status_line.split()[1]

            async def settled(number: int):
                for _ in range(300):
                    state = (await fleet.view()).fleet
                    if state.coming is None and state.last == number:
                        return state
                    await asyncio.sleep(0.05)
                raise AssertionError(state)

            async def publish(text: str, why: str) -> None:
                await fleet.change("publish", files={"openapi.yaml": text}, who="t", why=why, kind="")

            assert [await status("/a"), await status("/b")] == ["200", "404"]
            await publish(described_routes("/b"), "b in place of a")
            assert (await settled(1)).version.number == 1
            assert [await status("/a"), await status("/b")] == ["404", "200"]
            ingress.reload()    # the version's description replaces the ingress's own file
            await publish("openapi: 3.1.0\npaths: 3\n", "faulty")
            state = await settled(2)
            assert state.version.number == 1 and "halted" in state.history[-1].state
            assert [await status("/a"), await status("/b")] == ["404", "200"]
        finally:
            await ingress.stop()
            await keeper.stop()
            for fake in (backend, count, discovery):
                fake.stop()

    run(test(), 60.0)
