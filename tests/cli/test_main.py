import json

import pytest

from examples import make_sheets
import savorycross
from savorycross.cli import main
from savorycross.cli import output


def run(capsys, *arguments):
    """Run a command; return its status, standard output and error."""
    status = main.main(list(arguments))
    captured = capsys.readouterr()
    return status, captured.out, captured.err


@pytest.fixture
def sheet(tmp_path):
    path = tmp_path / 'sheet.csv'
    make_sheets.make_relevo().write(path)
    return path


def test_version_is_printed(capsys):
    assert run(capsys, 'version')[:2] == (0, f'{savorycross.__version__}\n')


@pytest.mark.parametrize(
    'arguments',
    [
        ['bogus'],
        [],
        ['query'],
        ['query', 'w', '--wrong=1'],
        ['book', 'w', '--deadline_ms=soon'],
        ['sheet', 'chekc', 'x'],
        ['sheet', 'check', '/no/such/file'],
        ['entries', '--entries=localhost'],
        ['serve'],
    ],
)
def test_invalid_command_line_prints_one_error_line(capsys, arguments):
    status, out, err = run(capsys, *arguments)
    assert status == 2
    assert 'Traceback' not in out + err
    assert err.startswith('savorycross: ')
    if arguments != ['serve']:
        assert err.count('\n') == 1


def test_booking_with_unknown_flag_is_not_sent(capsys, monkeypatch):
    sent = []
    monkeypatch.setattr(main.trio, 'run', lambda *args: sent.append(args))
    assert run(capsys, 'book', 'w', '--wrong=1')[0] == 2
    assert sent == []


def test_all_invalid_settings_are_reported_at_once(capsys, monkeypatch):
    monkeypatch.setenv('SAVORYCROSS_HTTP_PORT', '99999')
    status, _, err = run(capsys, 'serve', '--name=a b', '--keep_s=0')
    assert status == 2
    for name in ('name', 'http_port', 'keep_s', 'peer_port', 'platform'):
        assert f'  {name}: ' in err


def test_unknown_setting_is_reported(capsys):
    status, _, err = run(capsys, 'serve', '--colour=red')
    assert status == 2
    assert 'colour: no such setting' in err


def test_sheet_check_prints_number_of_targets(capsys, sheet):
    status, out, _ = run(capsys, 'sheet', 'check', str(sheet), '--json')
    assert status == 0
    assert json.loads(out)['targets'] == 84


def test_sheet_check_prints_each_invalid_cell(capsys, sheet):
    text = sheet.read_text().replace(',bilbo,127', ',nowhere,127', 2)
    sheet.write_text(text)
    status, _, err = run(capsys, 'sheet', 'check', str(sheet))
    assert status == 6
    assert err.count('nowhere') == 2


def test_errors_are_printed_as_json(capsys):
    status, _, err = run(capsys, 'bogus', '--json')
    assert json.loads(err)['code'] == 'usage'
    assert status == 2


def test_help_lists_the_commands(capsys):
    status, out, _ = run(capsys, '--', '--help')
    assert status == 0
    for name in ('serve', 'query', 'book', 'sheet', 'timeline'):
        assert name in out


def test_unreachable_instances_are_reported_with_an_error_code(capsys):
    status, _, err = run(capsys, 'entries', '--entries=127.0.0.1:9')
    assert status == 5
    assert err.startswith('savorycross: no_instance: ')


def test_empty_lists_are_rendered():
    assert output.render({'a': []}, as_json=False) == 'a: -'
