"""Helpers shared by the specifications."""

import minicheck


def replace_item(items, i, value):
    """Return a copy of a tuple with the item at index ``i`` replaced."""
    return (*items[:i], value, *items[i + 1 :])


def check(name, specification, initial, invariants, max_states=400_000):
    """Search the states of a specification; return the checker's report.

    :param name: name of the protocol in the report.
    :param specification: has ``transitions``, which yields (label, state).
    :param initial: the initial state.
    :param invariants: predicates by name; each takes a dictionary that has
        the state under ``state``.
    :param max_states: number of states after which the search ends.
    """
    model = minicheck.Protocol(
        name=name,
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=lambda values: [
            (label, (state,))
            for label, state in specification.transitions(values[0])
        ],
        invariants=invariants,
    )
    return minicheck.check_safety(model, max_states)


def assert_proved(report, names):
    """Assert that an exhaustive search found no violation."""
    print(f'{report["reachable_states"]} states')
    assert report['exhaustive']
    for name in names:
        assert report['properties'][name]['holds'] is True


def assert_refuted(report, name):
    """Assert that the search found a violation of an invariant."""
    result = report['properties'][name]
    assert result['holds'] is False
    print(f'counterexample of {len(result["counterexample"])} states')
