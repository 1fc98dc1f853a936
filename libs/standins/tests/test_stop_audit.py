"""Which requests count as cut by a planned stop."""

from burdockthread_standins.broken_run import FaultSpan
from burdockthread_standins.job_load import CutRequest
from burdockthread_standins.stop_audit import cut_by_stops, is_excused

NAMES = {"http://one": "entry-1", "http://two": "entry-2"}


def span(kind, began_s, ended_s, target=""):
    found = FaultSpan(kind, began_s)
    found.ended_s = ended_s
    found.target = target
    return found


STOP = span("stop", 10.0, 16.0, "entry-1")


def cut(url="http://one", sent_s=11.0, cut_s=12.0, held=True):
    return CutRequest(url, "j", "GET", sent_s, cut_s, held)


def test_request_on_a_held_connection_of_a_stopping_entry_counts():
    assert cut_by_stops([cut()], [STOP], NAMES) == [cut()]


def test_requests_that_a_stop_may_end_do_not_count():
    others = [
        cut(url="http://two"),
        cut(sent_s=11.9),
        cut(held=False),
        cut(sent_s=8.0, cut_s=9.0),
        cut(sent_s=17.0, cut_s=18.0),
    ]
    assert cut_by_stops(others, [STOP], NAMES) == []


def test_only_an_unplanned_disruption_near_excuses():
    assert not is_excused(cut(), [STOP, span("pause", 1.0, 7.9)])
    assert is_excused(cut(), [STOP, span("pause", 1.0, 8.1)])
    assert is_excused(cut(), [STOP, span("store out", 11.5, float("inf"))])
    assert not is_excused(cut(), [STOP, span("store out", 12.5, 13.0)])
