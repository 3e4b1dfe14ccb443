"""The check of a configuration before it is sent."""

import json

import pytest

from savorycross.cli import main

KEYS = ['sesame-7', 'sesame-8']


def _make(**fields):
    """Return a valid configuration as a dictionary."""
    return {
        'version': 7,
        'routes': [
            {
                'name': 'search',
                'host': 'h.example',
                'prefix': '/search/',
                'kind': 'idempotent',
                'timeout_ms': 900,
                'goal_ms': 90,
                'fanout': ['s1', 's2', 's3'],
                'top_k': 5,
                'min_share': 0.6,
            }
        ],
        'services': [{'name': n} for n in ('s1', 's2', 's3')],
        'tenants': [{'name': 'w', 'api_keys': KEYS[:1], 'rate_per_s': 5}],
        **fields,
    }


def _route(**fields):
    return _make()['routes'][0] | fields


def _check(tmp_path, capsys, new, old=None, *flags):
    """Check a configuration; return status, standard output and error."""
    arguments = ['configuration', 'check', str(tmp_path / 'new.json'), *flags]
    (tmp_path / 'new.json').write_text(json.dumps(new))
    if old is not None:
        (tmp_path / 'old.json').write_text(json.dumps(old))
        arguments.append(f'--in_force={tmp_path / "old.json"}')
    status = main.main(arguments)
    captured = capsys.readouterr()
    assert not any(key in captured.out + captured.err for key in KEYS)
    return status, captured.out, captured.err


def test_sound_configuration_has_no_findings(tmp_path, capsys):
    status, out, _ = _check(tmp_path, capsys, _make(), None, '--json')
    assert status == 0
    assert json.loads(out) == {'version': 7, 'warnings': [], 'changes': []}


# Each guards against an entry with which requests fail once it is sent.
@pytest.mark.parametrize(
    ('fields', 'text'),
    [
        ({'routes': 5}, 'routes'),
        (
            {'routes': [_route(), _route(name='hidden')]},
            "route 'search': never matches: route 'hidden'",
        ),
        ({'routes': [_route(prefix='/search')]}, 'begin and end with a slash'),
        ({'routes': [_route(host='h:80')]}, "host 'h:80'"),
        ({'routes': [_route(fanout=['s1', 's9'])]}, "'s9' is not declared"),
        ({'routes': [_route(fanout=['s1', 's1'])]}, "'s1' 2 times"),
        ({'routes': [_route(fanout=[])]}, 'names no service'),
        ({'routes': [_route(kind='non_idempotent')]}, 'must be idempotent'),
        ({'routes': [_route(min_share=1.2)]}, 'coverage of 1.2'),
        ({'routes': [_route(timeout_ms=0)]}, 'timeout of 0 s'),
        (
            {'tenants': [{'name': n, 'api_keys': KEYS} for n in 'ab']},
            "workspace 'b': has a key that workspace 'a' holds",
        ),
        ({'tenants': [{'name': 'w', 'rate_per_s': -1}]}, 'negative'),
    ],
)
def test_error_names_its_place_and_the_status_is_1(
    tmp_path, capsys, fields, text
):
    status, _, err = _check(tmp_path, capsys, _make(**fields))
    assert status == 1
    assert text in err


@pytest.mark.parametrize(
    ('fields', 'text'),
    [
        ({'routes': [_route(goal_ms=950)]}, 'objective of 0.95 s is longer'),
        ({'routes': [_route(min_share=0.7)]}, 'needs all 3 services'),
        ({'routes': [_route(top_k=0)]}, 'answers are empty'),
        ({'tenants': [{'name': 'w'}]}, "workspace 'w': has no keys"),
        (
            {'tenants': [{'name': 'w', 'api_keys': KEYS, 'burst': 3}]},
            'burst of 3 without a rate',
        ),
        (
            {'services': [*_make()['services'], {'name': 'idle'}]},
            "service 'idle': no route",
        ),
    ],
)
def test_probable_mistake_is_a_warning(tmp_path, capsys, fields, text):
    status, out, _ = _check(tmp_path, capsys, _make(**fields))
    assert status == 0
    assert text in out


def test_changes_from_the_version_in_force_are_listed(tmp_path, capsys):
    old = _make(version=6)
    new = _make(
        routes=[_route(timeout_ms=800), _route(name='new', prefix='/new/')],
        tenants=[{'name': 'w', 'api_keys': KEYS[1:], 'rate_per_s': 9}],
    )
    status, out, _ = _check(tmp_path, capsys, new, old, '--json')
    assert status == 0
    changes = {(c['place'], c['change']) for c in json.loads(out)['changes']}
    assert changes == {
        ("route 'search'", 'timeout_s: 0.9 -> 0.8'),
        ("route 'new'", 'added'),
        ("workspace 'w'", 'rate_per_s: 5.0 -> 9.0'),
        ("workspace 'w'", '1 keys added, 1 withdrawn'),
    }


def test_version_that_instances_would_not_take_is_an_error(tmp_path, capsys):
    status, _, err = _check(tmp_path, capsys, _make(), _make())
    assert status == 1
    assert 'version: 7 is not above 7' in err
