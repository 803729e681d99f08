"""Tests of the messages by which nodes lend each other retries."""

import asyncio
import unittest

from endivewind.nodes import codec
from endivewind.nodes import retry_loans
from endivewind.nodes import view

LENDER = view.NodeRecord("n2", 1, "n2:1", "r", "z")


class _Pool:
    """Delivers queries to a service through the codec; None if it is down."""

    def __init__(self, service):
        self.service = service

    async def query(self, address, frame, timeout):
        del address, timeout
        if self.service is None:
            return None
        received = codec.decode_frame(codec.encode_frame(frame)[4:])
        response = self.service.handle_query(received.retry_loan_ask)
        return codec.decode_frame(codec.encode_frame(response)[4:])


class RetryLoanServiceTest(unittest.TestCase):
    def _request(self, lender, amount):
        asker = retry_loans.RetryLoanService(
            _Pool(lender), lambda service, amount: 0.0
        )
        return asyncio.run(asker.request(LENDER, "riders", amount))

    def _lender(self, lent):
        self.asked = []

        def lend(service, amount):
            self.asked.append((service, amount))
            return min(lent, amount)

        return retry_loans.RetryLoanService(_Pool(None), lend)

    def test_parts_of_a_retry_are_lent(self):
        self.assertEqual(0.25, self._request(self._lender(0.25), 1.5))
        self.assertEqual([("riders", 1.5)], self.asked)

    def test_no_more_arrives_than_was_lent(self):
        """Guards against retries that are made by rounding."""
        lent = 0.3339
        borrowed = self._request(self._lender(lent), 1)

        self.assertLessEqual(borrowed, lent)
        self.assertAlmostEqual(lent, borrowed, delta=0.001)

    def test_node_that_does_not_respond_lends_nothing(self):
        self.assertEqual(0.0, self._request(None, 1))

    def test_missing_fields_lend_nothing(self):
        """Guards against an error at a node that gets an empty ask."""
        lender = self._lender(5.0)

        response = lender.handle_query(codec.messages.RetryLoanAsk())

        self.assertEqual(0, response.retry_loan_grant.thousandths)
        self.assertEqual([("", 0.0)], self.asked)


if __name__ == "__main__":
    unittest.main()
