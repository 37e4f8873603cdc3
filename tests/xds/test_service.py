"""`larchwing control` as a process, and the guards of its files."""

from __future__ import annotations

import json
import signal

from click.testing import CliRunner
from proxies import Proxy, run

from fennelpoint.cli import main
from fennelpoint.demo import EXAMPLE, SETTINGS
from fennelpoint.testing import List, member, until
from fennelpoint.testing.process import Command
from fennelpoint.xds.streams import RDS


def files(folder, discovery: str = "127.0.0.1:9", **control: object):
    config, operator, description = folder / "config.json", folder / "operator.toml", folder / "d.yaml"
    config.write_text(json.dumps({"name": "c0", "listen": "127.0.0.1:9", "discovery": discovery, "seed": "7",
                                  "counter": "127.0.0.1:9", "settings": SETTINGS}))
    description.write_text(EXAMPLE.read_text())
    values = {"settings": "config.json", "listen": "127.0.0.1:0", "unknown_nodes": "default", **control}
    operator.write_text("schema = 1\n[routes]\ndescription = 'd.yaml'\n[control]\n" + "".join(
        f"{name} = {json.dumps(value)}\n" for name, value in values.items()))
    return operator, description


def test_process_serves_follows_its_description_and_ends_with_0(tmp_path):
    async def play() -> None:
        discovery = List([member("s-0", "127.0.0.1:9001")])
        operator, description = files(tmp_path, await discovery.start())
        command = Command("control", "--config", operator)
        try:
            line = await command.start()
            proxy = Proxy(int(line.split()[-1]))
            proxy.connect()
            await until(lambda: RDS in proxy.view and proxy.ports() == [9001])
            description.write_text(EXAMPLE.read_text().replace("/slots:", "/places:"))
            command.process.send_signal(signal.SIGHUP)
            await until(lambda: "GET /v1/places" in {
                r.name for r in proxy.view[RDS]["larchwing"].virtual_hosts[0].routes})
            await proxy.drop()
            assert await command.stop() == 0
        finally:
            await command.stop()
            discovery.stop()

    run(play())


def test_faulty_files_end_it_with_2_before_any_socket(tmp_path):
    operator, description = files(tmp_path)
    text = operator.read_text()
    for change, says in ((("[control]", "[contro]"), "is control meant?"),
                         (("'d.yaml'", "'none.yaml'"), "there is no file"),
                         (('"default"', '"maybe"'), "'maybe' is none of refuse, default"),
                         (("settings = ", "envoy_listen = 'x:y'\nsettings = "), "'x:y' is not HOST:PORT"),
                         (("127.0.0.1:0", "127.0.0.1:99999"), "'127.0.0.1:99999' is not HOST:PORT"),
                         (("settings = ", "tls_key = 'd.yaml'\nsettings = "), "mutual TLS needs"),
                         (("settings = ", "nodes = [1]\nsettings = "), "[1] is not a list of texts")):
        operator.write_text(text.replace(*change))
        done = CliRunner().invoke(main, ["control", "--config", str(operator)])
        assert done.exit_code == 2 and says in done.stderr, done.output
        assert says in CliRunner().invoke(main, ["check", str(operator)]).stderr
    operator.write_text("schema = 1\n")
    done = CliRunner().invoke(main, ["control", "--config", str(operator)])
    assert done.stderr.count("section is missing") == 2
    operator.write_text(text)
    description.write_text(EXAMPLE.read_text().replace("class: look", "class: none"))
    done = CliRunner().invoke(main, ["control", "--config", str(operator)])
    assert done.exit_code == 2 and "the settings know no class 'none'" in done.stderr


def test_demo_shows_a_drained_and_a_killed_server_leave_the_views_and_a_quota_kept():
    done = CliRunner().invoke(main, ["demo", "control", "--seconds", "6"])
    assert done.exit_code == 0, done.output
    for what in ("s-0 drains: out of both proxies' views", "s-1 is killed: out of both proxies' views"):
        (line,) = [line for line in done.stdout.splitlines() if what in line]
        assert float(line.split()[-2]) < 500.0
    last = done.stdout.splitlines()[-1]
    assert last.startswith("agency 2 asked 60/s, its quota is 20/s: ")
    served = int(last.split(": ")[1].split()[0])
    assert 20 <= served <= 40 + 20 * 6
