"""The start of a process by the words of the deploy file."""

import os
import pathlib
import signal
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The interpreter runs it when it sets up its paths, before any program.
EARLY_SIGNAL = """
import os, signal
os.kill(os.getpid(), signal.{name})
"""


def start(folder, **variables):
    """Run the deploy file's words, with a folder on the interpreter's path.

    :param variables: further variables of the environment.
    """
    with open(ROOT / 'deploy/system.toml', 'rb') as file:
        words = tomllib.load(file)['roles']['entry']['run'].split()
    environment = {**os.environ, 'PYTHONPATH': str(folder), **variables}
    environment.pop('SAVORYCROSS_SETTINGS', None)
    return subprocess.run(
        [sys.executable, *words[1:]],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
    )


# Guards against a reload signal that ended a process as it started.
def test_reload_signal_while_the_interpreter_sets_up_ends_nothing(tmp_path):
    text = EARLY_SIGNAL.format(name='SIGHUP')
    (tmp_path / 'sitecustomize.py').write_text(text)
    process = start(tmp_path)
    assert process.returncode == 2, process.stderr
    assert 'SAVORYCROSS_SETTINGS' in process.stderr


def test_stop_signal_while_the_interpreter_sets_up_ends_with_0(tmp_path):
    text = EARLY_SIGNAL.format(name='SIGTERM')
    (tmp_path / 'sitecustomize.py').write_text(text)
    assert start(tmp_path).returncode == 0


# Guards against a start without the folder of the installed packages.
def test_safe_path_keeps_the_first_folder_of_the_path(tmp_path):
    (tmp_path / 'sitecustomize.py').write_text(
        'import os\nos.write(1, b"found")\n'
    )
    process = start(tmp_path, PYTHONSAFEPATH='1')
    assert process.stdout.startswith('found'), process.stderr
    assert process.returncode == 2, process.stderr


# Prints the modules loaded since the interpreter's own start, at the first
# action that is set for a signal, and which signal it is.
FIRST_STATEMENT = """
import _signal, os, sys
loaded = set(sys.modules)
def set_action(number, action):
    print(number, sorted(set(sys.modules) - loaded), flush=True)
    os._exit(0)
_signal.signal = set_action
exec(open(sys.argv[1]).read(), {'__name__': '__main__'})
"""


# Guards against work before the reload signal ceases to end the process.
def test_program_ignores_the_reload_signal_before_it_loads_anything():
    path = ROOT / 'savorycross/platform/start.py'
    process = subprocess.run(
        [sys.executable, '-S', '-c', FIRST_STATEMENT, path],
        capture_output=True,
        text=True,
    )
    assert process.stdout == f'{int(signal.SIGHUP)} []\n', process.stderr
