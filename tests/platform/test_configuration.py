"""Decoding of the operators' configuration."""

import json

import pytest

from savorycross import errors
from savorycross.platform import configuration
from savorycross.route import route

ROUTE = {
    'name': 'r',
    'host': 'H.example',
    'prefix': '/a/',
    'kind': 'idempotent',
    'timeout_ms': 800,
    'goal_ms': 95,
    'priority': 2,
    'attempts': 2,
}


def _decode(**fields):
    document = {'version': 7, 'routes': [{**ROUTE, **fields}]}
    data = json.dumps(document).encode()
    return configuration.decode_configuration(data)


def test_services_of_a_fanout_all_answer():
    decoded = _decode(fanout=['x', 'y'], top_k=5, min_share=0.75)
    (only,) = decoded.routes
    assert only.shape is route.Shape.ALL
    assert only.services == ('x', 'y')
    assert (only.record_limit, only.min_coverage) == (5, 0.75)
    assert (only.timeout_s, only.objective_s) == (0.8, 0.095)


def test_backends_of_a_route_are_weighted_services():
    backends = [{'service': 'x', 'weight': 3}, {'service': 'y', 'weight': 1}]
    (only,) = _decode(backends=backends).routes
    assert only.shape is route.Shape.WEIGHTED
    assert [s.weight for s in only.shares] == [3, 1]


def test_only_the_kind_makes_a_request_idempotent():
    (only,) = _decode(service='x', kind='non_idempotent').routes
    assert not only.is_idempotent
    (only,) = _decode(service='x', kind='something else').routes
    assert not only.is_idempotent


def test_longest_prefix_of_the_host_is_found():
    document = {
        'version': 1,
        'routes': [
            {**ROUTE, 'name': n, 'prefix': p, 'service': 'x'}
            for n, p in (('all', '/'), ('a', '/a/'), ('ab', '/a/b/'))
        ],
    }
    decoded = configuration.decode_configuration(json.dumps(document).encode())
    paths = {'/a/b/c': 'ab', '/a/bc': 'a', '/a': 'all', '/a/b/': 'ab'}
    for path, name in paths.items():
        assert decoded.table.find('h.example', path).name == name
    assert decoded.table.find('other', '/a/') is None


@pytest.mark.parametrize(
    'data', [b'', b'[]', b'{"version":"x","routes":[]}', b'{"version":1}']
)
def test_invalid_configuration_is_an_error(data):
    with pytest.raises(errors.ConfigurationInvalidError):
        configuration.decode_configuration(data)


def test_unknown_fields_are_ignored():
    assert _decode(service='x', colour='red').version == 7


# Guards against versions that no heartbeat can carry, without which an
# instance is alone and fails to stop.
@pytest.mark.parametrize('version', [10**19, 10**30, -(10**30), 10**400])
def test_version_beyond_64_bits_is_invalid(version):
    data = json.dumps({'version': version, 'routes': []}).encode()
    with pytest.raises(errors.ConfigurationInvalidError):
        configuration.decode_configuration(data)
