"""Guards against a non-idempotent request that runs twice (P5, P6)."""

import unittest

from bamboorouter import error_texts
from bamboorouter.protocol import commands
from bamboorouter.protocol import common
from bamboorouter.state import machine
from bamboorouter.state import request_keys
from tests import machine_commands as make


def key_at(wall_ms: int, number: int = 0) -> str:
    """Returns a UUID version 7 in canonical form."""
    digits = f"{wall_ms:012x}7000{0x8000:04x}{number:012x}"
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20])
    return "-".join((*parts, digits[20:]))


class RequestKeysTest(unittest.TestCase):
    """Reservations and outcomes of idempotency keys."""

    def setUp(self) -> None:
        self.apply = make.Applier()
        self.key = key_at(make.WALL_MS)

    def reserve(
        self, attempt: str, *, key: str = "", fingerprint: int = 1
    ) -> commands.Result:
        return self.apply(
            commands.ReserveRequest(
                key=key or self.key,
                fingerprint=fingerprint,
                attempt=attempt,
                service="quote",
                entry="e1",
            )
        )

    def record(
        self, attempt: str, outcome: common.Outcome, body: bytes = b"ok"
    ) -> commands.Result:
        return self.apply(
            commands.RecordRequestOutcome(
                key=self.key,
                attempt=attempt,
                outcome=outcome,
                status=200,
                headers=(("A", "b"),),
                body=body,
                digest=9,
                body_kept=True,
            )
        )

    def test_only_one_attempt_is_granted_and_gets_one_outcome(self) -> None:
        states = [self.reserve(a).data["state"] for a in ("a", "b", "a")]
        self.assertEqual(states, ["granted", "in_progress", "granted"])
        self.assertEqual(
            self.record("b", "completed").code, error_texts.STALE_ATTEMPT
        )
        self.record("a", "completed")
        self.assertEqual(self.record("a", "failed").data["body"], b"ok")
        answer = self.reserve("c").data
        self.assertEqual(
            (answer["state"], answer["outcome"], answer["body"]),
            ("done", "completed", b"ok"),
        )

    def test_same_key_with_other_content_is_refused(self) -> None:
        self.reserve("a")
        other = self.reserve("b", fingerprint=2)
        self.assertEqual(other.code, error_texts.KEY_REUSED)

    def test_request_that_was_not_run_may_be_reserved_again(self) -> None:
        self.reserve("a")
        self.record("a", "not_run")
        self.assertEqual(self.reserve("b").data["state"], "granted")
        late = self.record("a", "completed")
        self.assertEqual(late.code, error_texts.STALE_ATTEMPT)

    def test_reservation_that_arrives_after_its_outcome_is_not_granted(
        self,
    ) -> None:
        """Guards against a key that is held by a request that never runs.

        A link holds the reservation back; the entry gives up meanwhile.
        """
        self.assertEqual(self.record("a", "not_run").data["state"], "done")
        late = self.reserve("a").data
        self.assertEqual((late["state"], late["outcome"]), ("done", "not_run"))
        self.assertEqual(self.reserve("b").data["state"], "granted")
        # A copy of the same reservation.
        self.assertEqual(self.reserve("a").data["state"], "in_progress")

    def test_copy_of_a_released_reservation_is_not_granted(self) -> None:
        self.reserve("a")
        self.record("a", "not_run")
        self.assertEqual(self.reserve("a").data["state"], "done")
        self.assertEqual(self.reserve("b").data["state"], "granted")

    def test_outcome_of_an_unknown_key_is_kept_only_if_it_was_not_run(
        self,
    ) -> None:
        self.assertEqual(self.record("a", "completed").data["state"], "done")
        self.assertEqual(self.reserve("a").data["state"], "granted")

    def test_key_whose_request_did_not_run_gets_the_next_fingerprint(
        self,
    ) -> None:
        self.record("a", "not_run")
        self.assertEqual(
            self.reserve("b", fingerprint=7).data["state"], "granted"
        )
        self.assertEqual(
            self.reserve("c", fingerprint=8).code, error_texts.KEY_REUSED
        )

    def test_expired_key_is_unknown_even_if_the_clock_goes_back(self) -> None:
        self.reserve("a")
        self.apply.wall_ms += request_keys.RETENTION_MS
        self.reserve("x", key=key_at(self.apply.wall_ms))
        self.apply.wall_ms -= request_keys.RETENTION_MS
        answer = self.reserve("b").data
        self.assertEqual(
            (answer["state"], answer["outcome"]), ("done", "unknown")
        )

    def test_malformed_and_far_future_keys_are_refused(self) -> None:
        future = key_at(make.WALL_MS + 3600 * 1000)
        version4 = self.key.replace("-7000-", "-4000-")
        for key in ("x", version4, self.key.upper() + " ", future):
            code = self.reserve("a", key=key).code
            self.assertEqual(code, error_texts.KEY_MALFORMED)

    def test_full_table_refuses_new_keys_and_keeps_old_ones(self) -> None:
        for number in range(request_keys.MAX_KEYS):
            self.reserve("a", key=key_at(make.WALL_MS, number))
        refused = self.reserve("b", key=key_at(make.WALL_MS, 2**40))
        self.assertEqual(refused.code, error_texts.KEY_TABLE_FULL)
        self.assertEqual(self.reserve("b").data["state"], "in_progress")

    def test_large_answers_keep_status_and_digest_only(self) -> None:
        self.reserve("a")
        self.record("a", "completed", b"x" * 4097)
        answer = self.reserve("b").data
        self.assertEqual((answer["body"], answer["body_kept"]), (b"", False))
        self.assertEqual((answer["status"], answer["digest"]), (200, 9))

    def test_snapshot_keeps_reservations_and_answers(self) -> None:
        self.reserve("a")
        self.record("a", "completed")
        copy = machine.Machine()
        copy.restore(self.apply.machine.snapshot())
        self.assertEqual(copy.snapshot(), self.apply.machine.snapshot())
        self.apply.machine = copy
        self.assertEqual(self.reserve("b").data["body"], b"ok")
