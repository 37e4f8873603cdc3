"""A lease on the newest configuration keeps the bounds of any deployment's settings."""

from dataclasses import asdict
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from fennelpoint.system.settings import LEASE_BOUNDS, MAX_CLOCK_DRIFT, MIN_LEASE_S, Bounds, read
from fennelpoint.system.settings_schema import check_settings
from fennelpoint.testing.core_simulation import CoreSimulation

SITE = (Path(__file__).parent / "scenarios" / "site").read_text()
SETTINGS_TEXT = """node_name=f
node_role=r
ip_address=127.0.0.1
availability_zone=za
region=ra
zones.za=ra
internal_ports=8200,8202
seed_nodes=127.0.0.9:8200
"""
DEPLOYMENTS = st.builds(
    Bounds,
    config_apply_s=st.sampled_from([1.0, 2.0, 3.0, 4.0, 9.0]),
    revocation_s=st.sampled_from([3.0, 5.0, 9.0]),
    evacuation_s=st.sampled_from([2.5, 5.0]),
    drain_deadline_s=st.sampled_from([3.0, 4.0]),
    contact_s=st.sampled_from([4.0, 5.0]),
    grace_period_s=st.sampled_from([4.0, 6.0, 10.0]),
)


# Guards against answers by an older configuration in deployments with bounds other than the defaults.
@settings(max_examples=12)
@given(bounds=DEPLOYMENTS, cut_after=st.floats(0.0, 0.5))
def test_no_proxy_uses_an_older_version_beyond_the_bounds_of_its_deployment(bounds: Bounds, cut_after: float) -> None:
    world = CoreSimulation(1, bounds)
    for line in SITE.splitlines():
        world.execute(line.split())
    world.run(2.0)
    world.execute("put 3 on 0 via a1".split())
    world.run(4.0 + cut_after)
    assert all(world.may_send_requests(front) for front in world.proxies.values())
    world.execute("cut fa from core fb fc".split())
    world.execute("put 5 on 3 via b1 x".split())
    world.run(world.now + bounds.max_staleness_s)
    assert not world.may_send_requests(world.proxies["fa"])
    assert world.proxies["fa"].version == 3 and world.proxies["fb"].version == 5


@pytest.mark.parametrize("name", LEASE_BOUNDS)
def test_lease_is_shorter_than_each_bound_by_the_clock_rate_error(name: str) -> None:
    bounds = Bounds(**asdict(Bounds()) | {name: 2.0})
    assert bounds.lease_s == pytest.approx(2.0 * (1.0 - MAX_CLOCK_DRIFT))


@pytest.mark.parametrize("name", LEASE_BOUNDS)
def test_bounds_that_no_lease_can_keep_are_rejected_with_file_field_and_reason(tmp_path: Path, name: str) -> None:
    path = tmp_path / "settings"
    path.write_text(f"{SETTINGS_TEXT}rule_bounds.{name}={MIN_LEASE_S}\n")
    for result in (read(str(path)), check_settings(str(path))):
        assert isinstance(result, Err)
        line = str(result.err_value)
        assert str(path) in line and name in line and "0.8 s is too short, the minimum is 0.82 s" in line
        assert "\n" not in line
    path.write_text(f"{SETTINGS_TEXT}rule_bounds.{name}=0.9\n")
    assert isinstance(read(str(path)), Ok) and isinstance(check_settings(str(path)), Ok)
