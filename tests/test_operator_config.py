"""The operator file: what is read, and every way of getting it wrong with its line."""

from dataclasses import fields
from pathlib import Path

import pytest

from fennelpoint.operator_config import Announce, BgpPeer, Control, Operator, Routes, ServiceAddress, read_operator
from fennelpoint.validation_errors import FaultyFile

ROOT = Path(__file__).parent.parent


def read(folder, text: str | bytes) -> Operator:
    (folder / "d.yaml").write_text("")
    path = folder / "operator.toml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return read_operator(path)


def faults(folder, text: str | bytes) -> list[str]:
    with pytest.raises(FaultyFile) as caught:
        read(folder, text)
    return [str(f).removeprefix(f"{folder}/") for f in caught.value.faults]


def test_file_of_the_repository_turns_nothing_on():
    assert read_operator(ROOT / "deploy/operator.toml") == Operator()


def test_section_is_read_with_its_defaults_and_paths_by_the_files_folder(tmp_path):
    assert read(tmp_path, "").routes is None
    found = read(tmp_path, 'schema = 1\n[routes]\ndescription = "d.yaml"\nwatch_interval_s = 2\n')
    assert found.routes == Routes(str(tmp_path / "d.yaml"), watch_interval_s=2.0)
    assert type(found.routes.watch_interval_s) is float


@pytest.mark.parametrize("text, says", [
    ("schema = 2", "operator.toml:1: schema: 2 is not known here: this program reads 1"),
    ("schema = '1'", "operator.toml:1: schema: '1' is not a whole number"),
    ("schema = 1\n[route]\n", "operator.toml:2: route: it is not known here: is routes meant?"),
    ("[routes]\n", "operator.toml:1: routes.description: it is missing, and has no default"),
    ("[routes]\ndescription = 'none.yaml'", "operator.toml:2: routes.description: there is no file"),
    ("[routes]\ndescription = ''", "operator.toml:2: routes.description: it names no file"),
    ("[routes]\ndescription = 3", "operator.toml:2: routes.description: 3 is not a text"),
    ("[routes]\ndescription = 'd.yaml'\nwatch_interval = 1",
     "operator.toml:3: routes.watch_interval: it is not known here: is watch_interval_s meant?"),
    ("[routes]\ndescription = 'd.yaml'\nwatch_interval_s = -1",
     "operator.toml:3: routes.watch_interval_s: -1 is not between 0 and 3600"),
    ("[routes]\ndescription = 'd.yaml'\nwatch_interval_s = true",
     "operator.toml:3: routes.watch_interval_s: True is not a number"),
    ("[routes]\ndescription = 'd.yaml'\nwatch_interval_s = nan",
     "operator.toml:3: routes.watch_interval_s: nan is not a number"),
    ("[routes]\ndescription = 'd.yaml'\nload_memory_mb = 512.5",
     "operator.toml:3: routes.load_memory_mb: 512.5 is not a whole number"),
    ("routes = 1", "operator.toml:1: routes: it is a section: write [routes]"),
    ("[[routes]]\ndescription = 'd.yaml'", "operator.toml:1: routes: it is a section"),
    ("a = [1", "operator.toml:1: it is not TOML"),
    ("schema = 1\nschema = 1", "operator.toml:2: it is not TOML"),
    (b"schema = 1\n# \xff", "operator.toml:2: it is no UTF-8"),
])
def test_fault_is_told_with_its_place(tmp_path, text, says):
    found = faults(tmp_path, text)
    assert found and found[0].startswith(says), found


def test_every_figure_has_its_unit_in_its_name():
    bare = {"max_streams", "own_zone_weight", "asn", "med"}     # a count, a factor, and numbers of BGP's own
    for section in (Routes, Control, Announce, ServiceAddress, BgpPeer):
        for item in fields(section):
            if "low" in item.metadata and item.name not in bare:
                assert item.name.rpartition("_")[2] in ("s", "mb", "bytes"), item.name


def test_all_faults_are_told_at_once(tmp_path):
    found = faults(tmp_path, "x = 1\n[routes]\ny = 2\nsettle_s = 'soon'\n")
    assert [f.split(":")[1] for f in found] == ["1", "2", "3", "4"]


def test_file_that_is_not_there_or_too_large(tmp_path):
    with pytest.raises(FaultyFile, match="No such file"):
        read_operator(tmp_path / "none.toml")
    assert "larger than" in faults(tmp_path, b"#" * (1 << 20 | 1))[0]


def test_lists_of_sections_are_read_and_their_faults_name_line_and_place(tmp_path):
    path = tmp_path / "operator.toml"
    text = """schema = 1
[announce]
asn = 65001
router_id = "10.0.0.1"
[[announce.peers]]
address = "127.0.0.1:179"
asn = 65002
[[announce.peers]]
address = "127.0.0.2:179"
asn = 65003
hold_s = 30
[[announce.addresses]]
prefix = "192.0.2.1/32"
next_hop = "198.51.100.1"
"""
    path.write_text(text)
    read = read_operator(path).announce
    assert [(p.asn, p.hold_s) for p in read.peers] == [(65002, 9), (65003, 30)]
    assert read.addresses[0].needs == ["listener", "quotas"]
    path.write_text(text.replace("hold_s = 30", "hold_s = 1").replace("asn = 65002", "asn = 'x'"))
    with pytest.raises(FaultyFile) as error:
        read_operator(path)
    assert [(f.line, f.place) for f in error.value.faults] == [
        (7, "announce.peers.0.asn"), (11, "announce.peers.1.hold_s")]
    path.write_text("[announce]\nasn = 1\nrouter_id = '10.0.0.1'\npeers = 3\n")
    with pytest.raises(FaultyFile, match="write \\[\\[announce.peers\\]\\]"):
        read_operator(path)
