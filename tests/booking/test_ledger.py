from savorycross.booking import ledger


def test_ticket_begins_once():
    booking_ledger = ledger.Ledger()
    assert booking_ledger.begin(1, 0.0, 1.0).step is ledger.Step.RUN
    assert booking_ledger.begin(1, 0.0, 2.0).step is ledger.Step.WAIT


def test_unknown_outcome_is_never_run_again():
    booking_ledger = ledger.Ledger()
    booking_ledger.begin(1, 0.0, 1.0)
    booking_ledger.finish(1, ledger.Outcome.UNKNOWN)
    decision = booking_ledger.begin(1, 0.0, 2.0)
    assert decision.step is ledger.Step.ANSWER
    assert decision.outcome is ledger.Outcome.UNKNOWN


def test_late_answer_settles_an_unknown_outcome():
    booking_ledger = ledger.Ledger()
    booking_ledger.begin(1, 0.0, 1.0)
    booking_ledger.finish(1, ledger.Outcome.UNKNOWN)
    booking_ledger.finish(1, ledger.Outcome.RAN, b'x')
    assert booking_ledger.begin(1, 0.0, 2.0).body == b'x'


def test_stale_ticket_that_was_never_used_has_not_run():
    booking_ledger = ledger.Ledger()
    decision = booking_ledger.begin(1, 0.0, ledger.TICKET_VALID_S + 1)
    assert decision.outcome is ledger.Outcome.NOT_RUN


def test_outcome_is_unknown_after_the_retention_has_ended():
    booking_ledger = ledger.Ledger()
    booking_ledger.begin(1, 0.0, 1.0)
    booking_ledger.finish(1, ledger.Outcome.RAN)
    late = 2.0 + ledger.RETENTION_S + ledger.TICKET_VALID_S
    assert booking_ledger.begin(1, 0.0, late).outcome is ledger.Outcome.UNKNOWN
    assert len(booking_ledger) == 0


def test_ledger_is_bounded_and_refuses_when_full():
    booking_ledger = ledger.Ledger(max_entries=2)
    booking_ledger.begin(1, 0.0, 1.0)
    booking_ledger.begin(2, 0.0, 1.0)
    assert not booking_ledger.has_capacity(1.0)
    assert booking_ledger.begin(3, 0.0, 1.0).outcome is ledger.Outcome.NOT_RUN
