"""Tests of tickets and of the issuer's book."""

import datetime
import itertools
import tracemalloc
import unittest

import expression

from endivewind import exchange
from endivewind.callers import ticket_book
from endivewind.callers import tickets

SECOND = datetime.timedelta(seconds=1)
NOW = datetime.timedelta(hours=1)


def issuer(secret: bytes = b"s" * 32, incarnation: int = 7) -> tickets.Issuer:
    """An issuer whose nonces count up."""
    numbers = itertools.count()
    return tickets.Issuer(
        "node-a", incarnation, secret, lambda: f"n{next(numbers)}"
    )


def head(**changes) -> exchange.RequestHead:
    """A head of a payout."""
    fields = {
        "request_id": "r",
        "method": "POST",
        "path": "/payouts",
        "headers": (),
        "service": "ledger",
        "workspace": "boat-1",
        "remaining": 5 * SECOND,
    }
    return exchange.RequestHead(**{**fields, **changes})


class TicketTest(unittest.TestCase):
    """Only what this incarnation issued to this workspace is valid."""

    def test_text_survives_the_header(self):
        ticket = issuer().issue("boat-1", NOW)

        self.assertEqual(ticket, tickets.parse(ticket.text))
        self.assertEqual(ticket, tickets.parse(f' "{ticket.text}" '))

    def test_ticket_is_bound_to_its_workspace(self):
        ticket = issuer().issue("boat-1", NOW)

        self.assertTrue(issuer().verify(ticket, "boat-1"))
        self.assertFalse(issuer().verify(ticket, "boat-2"))

    def test_forged_and_foreign_tickets_are_refused(self):
        ticket = issuer().issue("boat-1", NOW)

        for name, other in {
            "another secret": issuer(b"t" * 32),
            "a later start": issuer(incarnation=8),
        }.items():
            with self.subTest(name):
                self.assertFalse(other.verify(ticket, "boat-1"))

    def test_every_changed_character_is_noticed(self):
        text = issuer().issue("boat-1", NOW).text

        for index, old in enumerate(text):
            new = "1" if old != "1" else "2"
            parsed = tickets.parse(text[:index] + new + text[index + 1 :])
            valid = parsed and issuer().verify(parsed, "boat-1")
            with self.subTest(index=index, old=old):
                self.assertFalse(valid)

    def test_what_is_no_ticket_is_not_parsed(self):
        for text in ("", "a", "my-own-key", "x" * 5000, "a:1:2:3:é", ":::::"):
            with self.subTest(text[:20]):
                self.assertIsNone(tickets.parse(text))

    def test_fingerprint_tells_requests_apart(self):
        marks = {
            tickets.fingerprint(head(), b"1"),
            tickets.fingerprint(head(), b"2"),
            tickets.fingerprint(head(method="PUT"), b"1"),
            tickets.fingerprint(head(path="/payouts/2"), b"1"),
            tickets.fingerprint(head(workspace="boat-2"), b"1"),
            tickets.fingerprint(head(service="ledger-2"), b"1"),
        }

        self.assertEqual(6, len(marks))

    def test_fingerprint_ignores_headers(self):
        first = tickets.fingerprint(head(), b"1")
        second = tickets.fingerprint(head(headers=((b"a", b"b"),)), b"1")

        self.assertEqual(first, second)


class TicketBookTest(unittest.TestCase):
    """One start for each ticket, and its end for every later send."""

    def setUp(self):
        self.issuer = issuer()
        self.book = ticket_book.TicketBook()
        self.ticket = self.issuer.issue("boat-1", NOW)

    def claim(self, after=SECOND, mark=b"m", ticket=None):
        return self.book.claim(ticket or self.ticket, mark, NOW + after)

    def test_first_send_starts_and_the_next_joins(self):
        self.assertEqual(ticket_book.Step.START, self.claim().ok)
        self.assertEqual(ticket_book.Step.JOIN, self.claim().ok)

    def test_finished_ticket_gives_the_kept_answer(self):
        answer = exchange.Response(201, (), b"paid")
        self.claim()
        self.book.finish(self.ticket, expression.Ok(answer))

        self.assertEqual(answer, self.claim().ok)

    def test_not_run_is_final(self):
        """The caller was told "not run" and pays again under a new key.

        A late copy of the first send comes in after that. Were it to start,
        the payout would be doubled and the answer made false.
        """
        refusal = exchange.not_run(exchange.Reason.NO_TARGET)
        self.claim()
        self.book.finish(self.ticket, expression.Error(refusal))

        self.assertEqual(refusal, self.claim().error)

    def test_unknown_is_final(self):
        refusal = exchange.outcome_unknown(exchange.Reason.TARGET_LOST)
        self.claim()
        self.book.finish(self.ticket, expression.Error(refusal))
        self.book.finish(self.ticket, expression.Ok(exchange.Response(200, ())))

        self.assertEqual(refusal, self.claim().error)

    def test_another_request_is_refused_with_the_tickets_outcome(self):
        self.claim()
        running = self.claim(mark=b"other").error
        self.book.finish(self.ticket, expression.Ok(exchange.Response(200, ())))
        finished = self.claim(mark=b"other").error

        self.assertEqual(exchange.Reason.TICKET_REUSED, running.reason)
        self.assertEqual(exchange.Outcome.UNKNOWN, running.outcome)
        self.assertEqual(exchange.Outcome.RAN, finished.outcome)

    def test_unused_ticket_is_told_not_run_and_never_starts(self):
        late = self.claim(after=ticket_book.FIRST_USE).error

        self.assertEqual(exchange.Reason.TICKET_EXPIRED, late.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, late.outcome)

    def test_past_retention_nothing_is_claimed_to_be_known(self):
        self.claim()
        self.book.finish(self.ticket, expression.Ok(exchange.Response(200, ())))

        late = self.claim(after=SECOND + ticket_book.RETENTION).error

        self.assertEqual(exchange.Outcome.UNKNOWN, late.outcome)
        self.assertEqual(0, self.book.count)
        self.assertEqual(0, self.book.size)

    def test_running_work_outlives_the_retention(self):
        self.claim()

        late = self.claim(after=SECOND + ticket_book.RETENTION)

        self.assertEqual(ticket_book.Step.JOIN, late.ok)

    def test_full_book_refuses_and_the_refusal_stays_true(self):
        """The caller is told "not run" because the book is full.

        The book has no room to remember that, then finds room again. A late
        copy of the refused send must still not start.
        """
        self.book = ticket_book.TicketBook(capacity=ticket_book.RECORD_BYTES)
        refused = self.issuer.issue("boat-1", NOW + SECOND)
        self.claim()
        self.book.finish(self.ticket, expression.Ok(exchange.Response(200, ())))
        full = self.claim(after=3 * SECOND, ticket=refused).error
        self.claim(after=SECOND + ticket_book.RETENTION)
        later = self.issuer.issue("boat-1", NOW + ticket_book.RETENTION)

        copy = self.claim(after=ticket_book.FIRST_USE, ticket=refused).error
        fresh = self.claim(after=ticket_book.RETENTION + SECOND, ticket=later)

        self.assertEqual(exchange.Reason.BUSY, full.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, full.outcome)
        self.assertEqual(exchange.Outcome.NOT_RUN, copy.outcome)
        self.assertEqual(ticket_book.Step.START, fresh.ok)

    def test_closed_book_starts_nothing_and_still_answers(self):
        answer = exchange.Response(201, (), b"paid")
        self.claim()
        self.book.finish(self.ticket, expression.Ok(answer))
        self.book.close()
        other = self.issuer.issue("boat-1", NOW)

        self.assertEqual(answer, self.claim().ok)
        refused = self.claim(ticket=other).error
        self.assertEqual(exchange.Reason.STOPPING, refused.reason)
        self.assertEqual(exchange.Outcome.NOT_RUN, refused.outcome)

    def test_answer_without_room_is_told_as_ran(self):
        self.book = ticket_book.TicketBook(kept_answer_bytes=3)
        self.claim()
        self.book.finish(
            self.ticket, expression.Ok(exchange.Response(200, (), b"four"))
        )

        self.assertEqual(exchange.Outcome.RAN, self.claim().error.outcome)

    def test_record_takes_no_more_than_counted(self):
        def refused(nonce):
            detail = "x" * 100 + nonce
            return expression.Error(
                exchange.outcome_unknown(exchange.Reason.TARGET_LOST, detail)
            )

        def answered(nonce):
            fields = tuple(
                (f"name-{number}".encode(), f"{number}{nonce}".encode())
                for number in range(6)
            )
            body = b"y" * 100 + nonce.encode()
            return expression.Ok(exchange.Response(200, fields, body))

        for result in (refused, answered):
            with self.subTest(result.__name__):
                self.book = ticket_book.TicketBook()
                taken = _traced(lambda made=result: self._fill(made))

                self.assertEqual(2000, self.book.count)
                self.assertLess(taken, self.book.size)

    def _fill(self, result):
        for _ in range(2000):
            ticket = self.issuer.issue("boat-1", NOW)
            mark = tickets.fingerprint(head(), ticket.nonce.encode())
            self.claim(mark=mark, ticket=ticket)
            self.book.finish(ticket, result(ticket.nonce))


def _traced(work) -> int:
    """Bytes that are held after the work and were not before."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    work()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before
