"""Mutual TLS of the control port: who gets in, new files while it runs, faulty ones."""

from __future__ import annotations

import grpc
import pytest
import trustme
from click.testing import CliRunner
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from proxies import control, run

from fennelpoint.cli import main
from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.operator_config import Control
from fennelpoint.settings import from_json
from fennelpoint.testing import List, member, until
from fennelpoint.validation_errors import FaultyFile
from fennelpoint.xds.server import fetch_status, status_lines
from fennelpoint.xds.streams import EDS
from fennelpoint.xds.tls import FILES, check


def write(folder, authority: trustme.CA, clients: trustme.CA) -> dict[str, str]:
    """The three files, as the operator file names them."""
    server = authority.issue_cert("localhost")
    paths = {name: folder / f"{name}.pem" for name in FILES}
    paths["tls_certificate"].write_bytes(b"".join(b.bytes() for b in server.cert_chain_pems))
    paths["tls_key"].write_bytes(server.private_key_pem.bytes())
    paths["tls_client_ca"].write_bytes(clients.cert_pem.bytes())
    return {name: str(path) for name, path in paths.items()}


async def asks(port: int, authority: trustme.CA, clients: trustme.CA | None) -> bool:
    """Whether a client of this authority is served its endpoints."""
    own = clients.issue_cert("proxy-1") if clients is not None else None
    key, chain = (own.private_key_pem.bytes(), own.cert_chain_pems[0].bytes()) if own else (None, None)
    made = grpc.ssl_channel_credentials(authority.cert_pem.bytes(), key, chain)
    options = [("grpc.use_local_subchannel_pool", 1)]
    async with grpc.aio.secure_channel(f"localhost:{port}", made, options) as ch:
        call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(ch).StreamAggregatedResources(timeout=5.0)
        try:
            await call.write(discovery_pb2.DiscoveryRequest(type_url=EDS, resource_names=["backends"]))
            return (await call.read()) is not grpc.aio.EOF
        except grpc.aio.AioRpcError as error:
            assert error.code() is grpc.StatusCode.UNAVAILABLE, error
            return False


def test_only_proxies_with_a_certificate_get_in_and_new_files_are_taken(tmp_path, caplog):
    async def play() -> None:
        first, second, stranger = trustme.CA(), trustme.CA(), trustme.CA()
        discovery = List([member("s-0", "127.0.0.1:9001")])
        await discovery.start()
        files = write(tmp_path, first, first)
        async with control(discovery, EXAMPLE, from_json(SETTINGS), **files, listen="localhost:0") as server:
            assert await asks(server.port, first, first)
            own = first.issue_cert("operator")
            secure = grpc.ssl_channel_credentials(first.cert_pem.bytes(), own.private_key_pem.bytes(),
                                                  own.cert_chain_pems[0].bytes())
            (line,) = status_lines(await fetch_status(f"localhost:{server.port}", secure))
            assert line.startswith("(this service)")
            assert not await asks(server.port, first, None)
            assert not await asks(server.port, first, stranger)
            (tmp_path / "tls_key.pem").write_text("torn")
            assert await asks(server.port, first, first)    # a faulty file changes nothing
            await until(lambda: "no PEM file of a key" in caplog.text)
            write(tmp_path, second, second)
            assert await asks(server.port, second, second)
            assert not await asks(server.port, second, first)
        discovery.stop()

    run(play())


def test_files_are_checked_before_any_socket(tmp_path):
    files = write(tmp_path, trustme.CA(), trustme.CA())
    check(Control(settings="", **files), "operator.toml")
    with pytest.raises(FaultyFile) as error:
        check(Control(settings="", tls_key=files["tls_key"]), "operator.toml")
    assert [f.place for f in error.value.faults] == ["control.tls_certificate", "control.tls_client_ca"]
    (tmp_path / "tls_client_ca.pem").write_text("nothing")
    with pytest.raises(FaultyFile, match="no PEM file of a client_ca"):
        check(Control(settings="", **files), "operator.toml")


def test_status_command_wants_all_three_files_or_none(tmp_path):
    files = write(tmp_path, trustme.CA(), trustme.CA())
    done = CliRunner().invoke(main, ["control", "status", "127.0.0.1:9", "--ca", files["tls_client_ca"]])
    assert done.exit_code == 2 and "go together" in done.stderr
    given = [f"--ca={files['tls_client_ca']}", f"--key={files['tls_key']}",
             f"--certificate={files['tls_certificate']}"]
    done = CliRunner().invoke(main, ["control", "status", "127.0.0.1:9", *given])
    assert done.exit_code == 1 and done.stderr.startswith("127.0.0.1:9: ")
