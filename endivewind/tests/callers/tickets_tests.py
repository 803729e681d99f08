"""Tests of tickets and of the issuer's ticket store."""

import datetime
import itertools
import tracemalloc
import unittest

import expression

from endivewind import exchange
from endivewind.callers import ticket_store
from endivewind.callers import tickets

SECOND = datetime.timedelta(seconds=1)
NOW = datetime.timedelta(hours=1)


def issuer(secret: bytes = b"s" * 32, incarnation: int = 7) -> tickets.Issuer:
    """Returns an issuer with predictable nonces."""
    numbers = itertools.count()
    return tickets.Issuer(
        "node-a", incarnation, secret, lambda: f"n{next(numbers)}"
    )


def head(**changes) -> exchange.RequestHead:
    """Returns the head of a request for a payout."""
    fields = {
        "request_id": "r",
        "method": "POST",
        "path": "/payouts",
        "headers": (),
        "service": "ledger",
        "workspace": "boat-1",
        "remaining_time": 5 * SECOND,
    }
    return exchange.RequestHead(**{**fields, **changes})


class TicketTest(unittest.TestCase):
    """A ticket is valid for its issuer's incarnation and workspace only."""

    def test_text_is_parsed_from_header_value(self):
        ticket = issuer().issue("boat-1", NOW)

        self.assertEqual(ticket, tickets.parse(ticket.text))
        self.assertEqual(ticket, tickets.parse(f' "{ticket.text}" '))

    def test_ticket_is_valid_for_its_workspace_only(self):
        ticket = issuer().issue("boat-1", NOW)

        self.assertTrue(issuer().verify(ticket, "boat-1"))
        self.assertFalse(issuer().verify(ticket, "boat-2"))

    def test_tickets_of_other_issuers_are_invalid(self):
        ticket = issuer().issue("boat-1", NOW)

        for name, other in {
            "another secret": issuer(b"t" * 32),
            "a later incarnation": issuer(incarnation=8),
        }.items():
            with self.subTest(name):
                self.assertFalse(other.verify(ticket, "boat-1"))

    def test_ticket_with_any_changed_character_is_invalid(self):
        text = issuer().issue("boat-1", NOW).text

        for index, old in enumerate(text):
            new = "1" if old != "1" else "2"
            parsed = tickets.parse(text[:index] + new + text[index + 1 :])
            valid = parsed and issuer().verify(parsed, "boat-1")
            with self.subTest(index=index, old=old):
                self.assertFalse(valid)

    def test_malformed_tickets_are_not_parsed(self):
        for text in ("", "a", "my-own-key", "x" * 5000, "a:1:2:3:é", ":::::"):
            with self.subTest(text[:20]):
                self.assertIsNone(tickets.parse(text))

    def test_fingerprint_depends_on_request(self):
        fingerprints = {
            tickets.fingerprint(head(), b"1"),
            tickets.fingerprint(head(), b"2"),
            tickets.fingerprint(head(method="PUT"), b"1"),
            tickets.fingerprint(head(path="/payouts/2"), b"1"),
            tickets.fingerprint(head(workspace="boat-2"), b"1"),
            tickets.fingerprint(head(service="ledger-2"), b"1"),
        }

        self.assertEqual(6, len(fingerprints))

    def test_fingerprint_ignores_headers(self):
        first = tickets.fingerprint(head(), b"1")
        second = tickets.fingerprint(head(headers=((b"a", b"b"),)), b"1")

        self.assertEqual(first, second)


class TicketStoreTest(unittest.TestCase):
    """A ticket starts once, and later copies of its request get its result."""

    def setUp(self):
        self.issuer = issuer()
        self.store = ticket_store.TicketStore()
        self.ticket = self.issuer.issue("boat-1", NOW)

    def claim(self, after=SECOND, fingerprint=b"m", ticket=None):
        return self.store.claim(ticket or self.ticket, fingerprint, NOW + after)

    def test_first_copy_starts_and_next_joins(self):
        self.assertEqual(ticket_store.ClaimAction.START, self.claim().ok)
        self.assertEqual(ticket_store.ClaimAction.JOIN, self.claim().ok)

    def test_finished_ticket_returns_kept_response(self):
        response = exchange.Response(201, (), b"paid")
        self.claim()
        self.store.finish(self.ticket, expression.Ok(response))

        self.assertEqual(response, self.claim().ok)

    def test_not_run_is_final(self):
        """Guards against a doubled payout.

        The caller got "not run" and resends the payout with a new key. Then a
        delayed copy of the first request arrives and must not start.
        """
        refusal = exchange.not_run_refusal(exchange.Reason.NO_TARGET)
        self.claim()
        self.store.finish(self.ticket, expression.Error(refusal))

        self.assertEqual(refusal, self.claim().error)

    def test_unknown_is_final(self):
        refusal = exchange.unknown_outcome_refusal(exchange.Reason.TARGET_LOST)
        self.claim()
        self.store.finish(self.ticket, expression.Error(refusal))
        self.store.finish(
            self.ticket, expression.Ok(exchange.Response(200, ()))
        )

        self.assertEqual(refusal, self.claim().error)

    def test_other_request_is_refused_with_outcome_of_ticket(self):
        self.claim()
        running = self.claim(fingerprint=b"other").error
        self.store.finish(
            self.ticket, expression.Ok(exchange.Response(200, ()))
        )
        finished = self.claim(fingerprint=b"other").error

        self.assertEqual(exchange.Reason.TICKET_REUSED, running.reason)
        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, running.outcome)
        self.assertEqual(exchange.ExecutionOutcome.RAN, finished.outcome)

    def test_ticket_unused_for_too_long_does_not_start(self):
        result = self.claim(after=ticket_store.FIRST_USE_TIMEOUT).error

        self.assertEqual(exchange.Reason.TICKET_EXPIRED, result.reason)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, result.outcome)

    def test_outcome_is_unknown_after_retention(self):
        self.claim()
        self.store.finish(
            self.ticket, expression.Ok(exchange.Response(200, ()))
        )

        result = self.claim(after=SECOND + ticket_store.RETENTION).error

        self.assertEqual(exchange.ExecutionOutcome.UNKNOWN, result.outcome)
        self.assertEqual(0, self.store.count)
        self.assertEqual(0, self.store.size)

    def test_record_of_running_request_is_kept_past_retention(self):
        self.claim()

        result = self.claim(after=SECOND + ticket_store.RETENTION)

        self.assertEqual(ticket_store.ClaimAction.JOIN, result.ok)

    def test_ticket_refused_by_full_store_never_starts(self):
        """Guards against a request that runs after it was refused as "not run".

        The store is full and has no room to record the refusal. Later it has
        room again, and a delayed copy of the refused request arrives.
        """
        self.store = ticket_store.TicketStore(
            capacity=ticket_store.RECORD_BYTES
        )
        refused = self.issuer.issue("boat-1", NOW + SECOND)
        self.claim()
        self.store.finish(
            self.ticket, expression.Ok(exchange.Response(200, ()))
        )
        full = self.claim(after=3 * SECOND, ticket=refused).error
        self.claim(after=SECOND + ticket_store.RETENTION)
        later = self.issuer.issue("boat-1", NOW + ticket_store.RETENTION)

        copy = self.claim(
            after=ticket_store.FIRST_USE_TIMEOUT, ticket=refused
        ).error
        new = self.claim(after=ticket_store.RETENTION + SECOND, ticket=later)

        self.assertEqual(exchange.Reason.BUSY, full.reason)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, full.outcome)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, copy.outcome)
        self.assertEqual(ticket_store.ClaimAction.START, new.ok)

    def test_closed_store_returns_results_but_starts_nothing(self):
        response = exchange.Response(201, (), b"paid")
        self.claim()
        self.store.finish(self.ticket, expression.Ok(response))
        self.store.refuse_new_tickets()
        other = self.issuer.issue("boat-1", NOW)

        self.assertEqual(response, self.claim().ok)
        refused = self.claim(ticket=other).error
        self.assertEqual(exchange.Reason.STOPPING, refused.reason)
        self.assertEqual(exchange.ExecutionOutcome.NOT_RUN, refused.outcome)

    def test_outcome_is_ran_if_response_is_too_large(self):
        self.store = ticket_store.TicketStore(kept_answer_bytes=3)
        self.claim()
        self.store.finish(
            self.ticket, expression.Ok(exchange.Response(200, (), b"four"))
        )

        self.assertEqual(
            exchange.ExecutionOutcome.RAN, self.claim().error.outcome
        )

    def test_records_use_no_more_memory_than_estimated(self):
        def refused(nonce):
            detail = "x" * 100 + nonce
            return expression.Error(
                exchange.unknown_outcome_refusal(
                    exchange.Reason.TARGET_LOST, detail
                )
            )

        def response_result(nonce):
            fields = tuple(
                (f"name-{number}".encode(), f"{number}{nonce}".encode())
                for number in range(6)
            )
            body = b"y" * 100 + nonce.encode()
            return expression.Ok(exchange.Response(200, fields, body))

        for result in (refused, response_result):
            with self.subTest(result.__name__):
                self.store = ticket_store.TicketStore()
                used_bytes = _allocated_bytes(
                    lambda make_result=result: self._fill_store(make_result)
                )

                self.assertEqual(2000, self.store.count)
                self.assertLess(used_bytes, self.store.size)

    def _fill_store(self, result):
        for _ in range(2000):
            ticket = self.issuer.issue("boat-1", NOW)
            fingerprint = tickets.fingerprint(head(), ticket.nonce.encode())
            self.claim(fingerprint=fingerprint, ticket=ticket)
            self.store.finish(ticket, result(ticket.nonce))


def _allocated_bytes(work) -> int:
    """Returns how much more memory is allocated after the call."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    work()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before
