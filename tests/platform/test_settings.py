"""Reading of the platform's settings file."""

import pytest

from savorycross import errors
from savorycross.platform import settings

FILE = """
node = "front-1"
ip = "10.1.0.39"
zone = "bilbo"
internal_ports = [7740, 7755]
seeds = ["10.1.0.39:8224", "10.2.0.33:8224"]
bootstrap = true
colour = "red"
[listen]
front = "10.1.0.39:8226"
ready = "10.1.0.39:8227"
directory = "10.1.0.39:8225"
[bounds]
grace_s = 6
retry_ratio = 0.2
retry_slack = 56
[platform]
addr = "10.200.1.7:8229"
"""


def _read(tmp_path, text):
    path = tmp_path / 'settings.toml'
    path.write_text(text)
    return settings.read_settings(9464, str(path))


def test_file_has_the_settings_of_an_instance(tmp_path):
    instance_settings = _read(tmp_path, FILE)
    assert instance_settings.data_centre == 'bilbo'
    assert instance_settings.peer_address == ('10.1.0.39', 7740)
    assert instance_settings.seeds == (
        ('10.1.0.39', 7740),
        ('10.2.0.33', 7740),
    )
    assert instance_settings.extra_send_limits.slack == 56
    assert instance_settings.is_first_start


@pytest.mark.parametrize('name', ['apply_ms', 'drain_ms', 'evac_ms'])
def test_changes_are_due_within_the_shortest_bound(tmp_path, name):
    instance_settings = _read(
        tmp_path, FILE.replace('[bounds]', f'[bounds]\n{name} = 900')
    )
    assert instance_settings.change_deadline_s == 0.9


@pytest.mark.parametrize(
    ('old', 'new', 'reported'),
    [
        ('node = "front-1"', '', 'node'),
        ('ip = "10.1.0.39"', 'ip = 7', 'ip'),
        ('front = "10.1.0.39:8226"', '', 'front'),
        ('grace_s = 6', 'grace_s = "long"', 'grace_s'),
        ('10.200.1.7:8229', '10.200.1.7', '10.200.1.7'),
        ('[platform]', '[limits]\nmemory_mb = "x"\n[platform]', 'memory_mb'),
    ],
)
def test_error_names_the_field(tmp_path, old, new, reported):
    with pytest.raises(errors.SettingsError, match=reported):
        _read(tmp_path, FILE.replace(old, new))


def test_memory_of_the_machine_is_read(tmp_path):
    limits = '\n[limits]\nmemory_mb = 430\nmax_fds = 6150\n'
    assert _read(tmp_path, FILE + limits).memory_bytes == 430_000_000


@pytest.mark.parametrize('value', ['0', '-1', 'inf', 'nan'])
def test_memory_that_is_no_size_counts_as_not_stated(tmp_path, value):
    limits = f'\n[limits]\nmemory_mb = {value}\n'
    without = _read(tmp_path, FILE).memory_bytes
    assert _read(tmp_path, FILE + limits).memory_bytes == without > 0


def test_missing_file_is_reported(tmp_path):
    with pytest.raises(errors.SettingsError, match='absent'):
        settings.read_settings(9464, str(tmp_path / 'absent'))
