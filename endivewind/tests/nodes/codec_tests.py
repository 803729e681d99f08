"""Tests the encoding of refusals and of target reports."""

import datetime
import unittest

from endivewind import exchange
from endivewind.nodes import codec

_MILLISECOND = datetime.timedelta(milliseconds=1)


class RefusalTest(unittest.TestCase):
    def test_every_reason_arrives(self):
        for reason in exchange.Reason:
            for wait in (None, 40 * _MILLISECOND):
                refusal = exchange.not_run_refusal(reason, "why", wait)

                encoded = codec.encode_refusal(7, refusal)

                self.assertEqual(7, encoded.exchange)
                self.assertEqual(refusal, codec.decode_refusal(encoded))

    def test_earlier_releases_know_the_reason(self):
        """Guards against internal errors while nodes of two releases run."""
        refusal = exchange.not_run_refusal(exchange.Reason.CALL_BUDGET)

        encoded = codec.encode_refusal(7, refusal)

        self.assertEqual("target-full", encoded.reason)


class TargetReportTest(unittest.TestCase):
    def test_all_fields_arrive(self):
        report = exchange.TargetReport(3, 0.25, 40 * _MILLISECOND, 1_700)

        encoded = codec.encode_target_report(report)

        self.assertEqual(report, codec.decode_target_report(encoded))

    def test_wait_is_not_rounded_to_zero(self):
        """Guards against sending to a target before its limit allows it."""
        report = exchange.TargetReport(0, 0.0, _MILLISECOND / 4)

        encoded = codec.encode_target_report(report)

        self.assertEqual(
            _MILLISECOND, codec.decode_target_report(encoded).rate_limit_wait
        )

    def test_work_time_arrives_and_is_not_rounded_to_unknown(self):
        """Guards against a fast target that looks unmeasured."""
        for seconds, received in ((0.0, 0.0), (0.0002, 0.001), (0.25, 0.25)):
            report = exchange.TargetReport(0, 0.0, work_seconds=seconds)

            encoded = codec.encode_target_report(report)

            self.assertEqual(
                received, codec.decode_target_report(encoded).work_seconds
            )

    def test_age_of_a_request_is_not_rounded_up(self):
        """Guards against a retry that counts from before its target got it."""
        for age, received in ((0.0, 0), (0.9, 0), (2.9, 2), (300, 300)):
            report = exchange.TargetReport(
                0, 0.0, request_age=age * _MILLISECOND
            )

            encoded = codec.encode_target_report(report)

            self.assertEqual(
                received * _MILLISECOND,
                codec.decode_target_report(encoded).request_age,
            )

    def test_unknown_work_time_takes_no_bytes(self):
        """Guards against new bytes on the wire while capacity is not used."""
        encoded = codec.encode_target_report(exchange.TargetReport(3, 0.25))

        self.assertIsNone(encoded.work_ms)
        self.assertIsNone(encoded.request_age_ms)

    def test_report_of_an_earlier_release_has_no_limit_and_no_departure(self):
        encoded = codec.messages.TargetReport(2, 50)

        self.assertEqual(
            exchange.TargetReport(2, 0.5), codec.decode_target_report(encoded)
        )


if __name__ == "__main__":
    unittest.main()
