"""The choice of instances that take callers, at 79 and 300 instances."""

import dataclasses

import pytest

from savorycross.overload import caller_subset
from savorycross.overload import machine_speed

DATA_CENTRES = ('north', 'east', 'south', 'west', 'centre')
WINDOW_S = 10.0


def _make_fleet(count, load=0.05):
    """Return Candidates, spread over the data centres, by name."""
    return {
        f'entry-{n}': caller_subset.Candidate(
            f'entry-{n}', DATA_CENTRES[n % len(DATA_CENTRES)], load
        )
        for n in range(count)
    }


def _count(names, fleet):
    """Return how many of the names are in each data centre."""
    counts = dict.fromkeys(DATA_CENTRES, 0)
    for name in names:
        counts[fleet[name].data_centre] += 1
    return counts


@pytest.mark.parametrize('count', [79, 300])
def test_idle_fleet_lists_few_instances_of_each_data_centre(count):
    fleet = _make_fleet(count)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    counts = _count(subset.selected, fleet)
    assert set(counts.values()) == {caller_subset.MIN_SELECTED}


def test_small_fleet_lists_every_instance():
    fleet = _make_fleet(12)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    assert subset.selected == fleet.keys()


@pytest.mark.parametrize('count', [79, 300])
def test_instances_agree_without_messages(count):
    fleet = _make_fleet(count)
    selections = set()
    for order in (1, -1):
        subset = caller_subset.CallerSubset(WINDOW_S)
        subset.update(list(fleet.values())[::order], 0.0)
        selections.add(subset.selected)
    assert len(selections) == 1


def test_lost_instance_changes_nothing_but_its_own_place():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    before = subset.selected
    lost = min(before)
    del fleet[lost]
    subset.update(fleet.values(), 1.0)
    assert len(subset.selected - before) == 1
    assert before - subset.selected == {lost}


def test_loss_of_a_data_centre_leaves_the_others_as_they_are():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    before = subset.selected
    rest = {n: c for n, c in fleet.items() if c.data_centre != 'north'}
    subset.update(rest.values(), 1.0)
    assert subset.selected == before & rest.keys()


def _run(subset, fleet, total_load, since, until):
    """Spread a load over the selected instances for some seconds.

    Each gets the same number of requests, so that slow ones work for longer.
    """
    now = since
    while now < until:
        each = total_load / max(len(subset.selected), 1)
        loaded = [
            dataclasses.replace(
                c,
                load=min(each / c.speed, 1.0)
                if c.name in subset.selected
                else 0.02,
            )
            for c in fleet.values()
        ]
        subset.update(loaded, now)
        now += 0.2


def test_more_load_adds_instances_before_any_is_full():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    _run(subset, fleet, 1.0, 0.0, 2.0)
    assert len(subset.selected) == 5 * caller_subset.MIN_SELECTED
    _run(subset, fleet, 12.0, 2.0, 4.0)
    assert 12.0 / len(subset.selected) <= caller_subset.TARGET_LOAD


def test_number_falls_only_after_the_load_was_low_for_some_time():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    _run(subset, fleet, 12.0, 0.0, 4.0)
    grown = len(subset.selected)
    _run(subset, fleet, 1.0, 4.0, caller_subset.SHRINK_AFTER_S)
    assert len(subset.selected) == grown
    _run(subset, fleet, 1.0, caller_subset.SHRINK_AFTER_S, 60.0)
    assert len(subset.selected) == 5 * caller_subset.MIN_SELECTED


def test_former_senders_count_while_their_sends_do():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    lost = min(subset.selected)
    del fleet[lost]
    outdated_at = caller_subset.OUTDATED_LIST_S
    subset.update(fleet.values(), outdated_at)
    assert lost in subset.senders(lost, outdated_at)
    assert lost in subset.senders('another', outdated_at + WINDOW_S)
    later = outdated_at + WINDOW_S + 0.1
    subset.update(fleet.values(), later)
    assert lost not in subset.senders('another', later)
    assert lost not in subset.senders(lost, later)


SLOW = 0.36


def _make_uneven_fleet(fast=6, slow=104):
    """Return Candidates of which a few are on fast machines, by name."""
    fleet = _make_fleet(fast + slow)
    names = list(fleet)
    for name in names[fast:]:
        fleet[name] = dataclasses.replace(fleet[name], speed=SLOW)
    return fleet


# Guards against callers at instances that take three times as long for each
# request, while faster ones stand by.
def test_only_fast_instances_take_callers_while_they_suffice():
    fleet = _make_uneven_fleet(fast=10)
    subset = caller_subset.CallerSubset(WINDOW_S)
    _run(subset, fleet, 1.0, 0.0, 2.0)
    assert {fleet[n].speed for n in subset.selected} == {1.0}
    assert len(subset.selected) == 10


def test_slow_instances_help_once_the_load_needs_them():
    fleet = _make_uneven_fleet(fast=5)
    subset = caller_subset.CallerSubset(WINDOW_S)
    _run(subset, fleet, 6.0, 0.0, 3.0)
    selected = [fleet[n] for n in subset.selected]
    assert sum(c.speed == 1.0 for c in selected) == 5
    assert sum(c.speed for c in selected) * caller_subset.TARGET_LOAD > 3.0


def test_slow_instances_take_over_at_once_when_the_fast_ones_are_lost():
    fleet = _make_uneven_fleet()
    subset = caller_subset.CallerSubset(WINDOW_S)
    _run(subset, fleet, 3.0, 0.0, 3.0)
    before = len(subset.selected)
    slow = {n: c for n, c in fleet.items() if c.speed == SLOW}
    _run(subset, slow, 3.0, 3.0, 3.3)
    assert subset.selected <= slow.keys()
    assert len(subset.selected) > before
    _run(subset, fleet, 3.0, 3.3, 3.6)
    assert sum(fleet[n].speed == 1.0 for n in subset.selected) == 6


def test_slightly_slower_instances_are_as_good_as_others():
    fleet = _make_fleet(30)
    uneven = {
        n: dataclasses.replace(c, speed=0.62 if len(n) % 2 else 0.72)
        for n, c in fleet.items()
    }
    selections = []
    for candidates in (fleet, uneven):
        subset = caller_subset.CallerSubset(WINDOW_S)
        subset.update(candidates.values(), 0.0)
        selections.append(subset.selected)
    assert selections[0] == selections[1]


def test_instance_that_runs_late_gives_its_place_to_another():
    fleet = _make_fleet(79)
    subset = caller_subset.CallerSubset(WINDOW_S)
    subset.update(fleet.values(), 0.0)
    late = min(subset.selected)
    fleet[late] = dataclasses.replace(
        fleet[late], speed=machine_speed.usable_speed(1.0, 0.5)
    )
    subset.update(fleet.values(), 1.0)
    assert late not in subset.selected
