"""Guards against a control group that is too small for the tolerated losses."""

import pathlib
import tomllib
import unittest

from bamboorouter.coordination.policies import member_repair

DEPLOY_FILE = pathlib.Path(__file__).parent.parent / "deploy" / "system.toml"


class ControlGroupTest(unittest.TestCase):
    """Counts the control replicas that the deploy file starts."""

    def voters(self, disks_by_zone: tuple[int, ...], tolerated: int) -> int:
        deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
        machines_per_zone = deploy["roles"]["control"]["count"]
        replicas = sum(min(disks, machines_per_zone) for disks in disks_by_zone)
        return member_repair.wanted_voters(replicas, tolerated)

    def test_group_survives_the_tolerated_losses(self) -> None:
        """Reproduces the loss of two disks where a zone has two.

        Control ran on one machine in each of three zones, so the group had three
        voters and lost its majority, and with it all jobs.
        """
        for disks_by_zone, tolerated in (
            ((1, 1, 1), 1),
            ((1, 1, 1, 1), 1),
            ((2, 2, 2), 2),
            ((2, 2, 2, 2), 2),
            ((1, 1, 1, 1, 1), 2),
            ((1, 1, 1, 1, 1, 1), 2),
        ):
            with self.subTest(disks=disks_by_zone, tolerated=tolerated):
                self.assertGreaterEqual(
                    self.voters(disks_by_zone, tolerated), 2 * tolerated + 1
                )


if __name__ == "__main__":
    unittest.main()
