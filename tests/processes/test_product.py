"""The command line and bad input against real processes."""

import json
import socket

import pytest

from standins import deployment
from standins import loopback
from tests import deployments

CLOSED_ADDRESS = '127.0.0.1:9'


@pytest.fixture(scope='module')
def running_deployment(tmp_path_factory):
    """Yield a running deployment of 4 instances."""
    folder = tmp_path_factory.mktemp('product')
    sheet = folder / 'sheet.csv'
    host = loopback.find_host()
    sheet.write_bytes(deployments.make_sheet(host=host))
    new_deployment = deployment.Deployment(
        sheet,
        deployments.DATA_CENTRES,
        folder / 'logs',
        warm=True,
        host=host,
    )
    try:
        new_deployment.start_all()
        yield new_deployment
    finally:
        new_deployment.stop()


def run_json_command(running_deployment, *arguments):
    """Run a command; return its exit status and the JSON that it printed."""
    entries = f'--entries={CLOSED_ADDRESS},{running_deployment.entries[0]}'
    result = running_deployment.run_command(*arguments, entries, '--json')
    text = result.stdout or result.stderr
    return result.returncode, json.loads(text)


def platform(running_deployment):
    return f'--platform={running_deployment.platform_address}'


def test_entries_are_found_although_the_first_address_is_closed(
    running_deployment,
):
    status, output = run_json_command(running_deployment, 'entries')
    assert status == 0
    addresses = {e['address'] for e in output['entries']}
    assert addresses == set(running_deployment.entries)


def test_query_names_snapshot_and_coverage(running_deployment):
    status, output = run_json_command(running_deployment, 'query', 'find')
    assert status == 0
    assert output['snapshot'] == {'index': 'idx', 'version': 1, 'epoch': 1}
    assert output['coverage'] == {'asked': 6, 'answered': 6, 'missed': []}


def test_booking_with_one_key_runs_once(running_deployment):
    for _ in range(2):
        status, output = run_json_command(
            running_deployment, 'book', 'book', '--key=rider-7'
        )
        assert (status, output['status']) == (0, 'ran')
    record = running_deployment.record()['targets'].values()
    assert sum(len(t['bookings']) for t in record) == 1


def test_timeline_of_a_request_spans_processes_in_causal_order(
    running_deployment,
):
    _, answer = run_json_command(running_deployment, 'query', 'find')
    status, events = run_json_command(
        running_deployment, 'timeline', f'--request={answer["request_id"]}'
    )
    assert status == 0
    kinds = [e['kind'] for e in events]
    assert kinds[0] == 'query.accepted'
    assert kinds[-1] == 'query.answered'
    assert kinds.count('part.received') == kinds.count('part.answered') > 0
    for event in events:
        if event['kind'] == 'part.received':
            assert event['sender'] == events[0]['instance']


def test_answers_are_complete_during_splits_and_with_late_replies(
    running_deployment,
):
    running_deployment.control_targets(faults={'late': 0.05})
    running_deployment.control_targets(split={'total': 5, 'epoch': 2})
    answers = [
        run_json_command(running_deployment, 'query', 'find')[1]
        for _ in range(3)
    ]
    running_deployment.control_targets(faults={'late': 0.0})
    running_deployment.control_targets(split={'total': 3, 'epoch': 3})
    answers.append(run_json_command(running_deployment, 'query', 'find')[1])
    for answer in answers:
        asked = {2: 10, 3: 6}[answer['snapshot']['epoch']]
        assert answer['coverage']['asked'] == asked
        assert answer['coverage']['answered'] == asked


def test_status_shows_one_target(running_deployment):
    status, output = run_json_command(
        running_deployment, 'status', '--target=svc-1-north'
    )
    assert status == 0
    (row,) = output.values()
    assert row['state'] == 'open'


def test_sheet_is_applied_and_waited_for(running_deployment, tmp_path):
    sheet = tmp_path / 'next.csv'
    extra = [{'kind': 'state', 'name': 'north', 'state': 'out'}]
    sheet.write_bytes(
        deployments.make_sheet(extra=extra, host=running_deployment.host)
    )
    result = running_deployment.run_command(
        'sheet', 'diff', str(sheet), platform(running_deployment), '--json'
    )
    assert result.returncode == 0
    output = json.loads(result.stdout)
    assert any('data_centre north' in line for line in output['changes'])
    base = output['base']
    apply = (
        'sheet',
        'apply',
        str(sheet),
        platform(running_deployment),
        '--wait',
    )
    status, output = run_json_command(
        running_deployment, *apply, f'--base={base}'
    )
    assert (status, output['version']) == (0, base + 1)
    status, output = run_json_command(running_deployment, *apply)
    assert (status, output['changed']) == (0, False)
    status, output = run_json_command(
        running_deployment, 'sheet', 'status', platform(running_deployment)
    )
    assert set(output['in_force'].values()) == {base + 1}
    old = (
        'sheet',
        'apply',
        str(running_deployment.sheet),
        platform(running_deployment),
    )
    status, output = run_json_command(
        running_deployment, *old, f'--base={base}'
    )
    assert (status, output['code']) == (7, 'sheet_race')
    status, output = run_json_command(running_deployment, *old, '--wait')
    assert (status, output['version']) == (0, base + 2)


def test_sheet_that_empties_the_fleet_needs_a_confirmation(
    running_deployment, tmp_path
):
    sheet = tmp_path / 'half.csv'
    extra = [
        {'kind': 'state', 'name': name, 'state': 'out'}
        for name in ('north', 'south')
    ]
    sheet.write_bytes(
        deployments.make_sheet(extra=extra, host=running_deployment.host)
    )
    status, output = run_json_command(
        running_deployment,
        'sheet',
        'apply',
        str(sheet),
        platform(running_deployment),
    )
    assert (status, output['code']) == (8, 'sheet_shrinks')


@pytest.mark.parametrize('offset', [0, 100], ids=['http', 'peer'])
def test_invalid_bytes_on_a_port_disturb_no_caller(running_deployment, offset):
    for invalid_bytes in (b'\xff' * 100, b'\x00\x00\x00\x08garbage!', b'GET'):
        with socket.create_connection(
            (running_deployment.host, running_deployment.ports.http + offset),
            timeout=5,
        ) as stream:
            stream.sendall(invalid_bytes)
    status, output = run_json_command(running_deployment, 'query', 'find')
    assert (status, output['coverage']['answered']) == (0, 6)
