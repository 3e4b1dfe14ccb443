"""The build of the deploy file."""

import os
import pathlib
import shutil
import subprocess
import tomllib

import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Stands for Python: the installation leaves a folder, and fails if the file
# ``offline`` exists.
PYTHON = """#!/bin/sh
case "$*" in
--version) echo "Python 3.11" ;;
*install*)
    mkdir -p target/deps
    echo run >> installations
    [ ! -e offline ] || exit 1
    touch target/deps/package ;;
esac
"""


class Build:
    """A copy of the files of the build, with a stand-in for Python."""

    def __init__(self, folder):
        self.folder = folder
        (folder / 'deploy').mkdir()
        (folder / 'bin').mkdir()
        for name in ('deploy/build.sh', 'requirements.txt'):
            shutil.copy(ROOT / name, folder / name)
        python = folder / 'bin/python3'
        python.write_text(PYTHON)
        python.chmod(0o755)
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            self._command = tomllib.load(file)['build']

    def run(self):
        """Run the build; return whether it succeeded."""
        path = f'{self.folder / "bin"}:{os.environ["PATH"]}'
        process = subprocess.run(
            self._command,
            shell=True,
            cwd=self.folder,
            env={**os.environ, 'PATH': path},
        )
        return process.returncode == 0

    @property
    def installations(self):
        """Number of installations of the packages so far."""
        return len((self.folder / 'installations').read_text().split())


@pytest.fixture
def build(tmp_path):
    return Build(tmp_path)


# Guards against a system that did not start as its packages were incomplete.
def test_build_completes_an_installation_that_failed(build):
    (build.folder / 'offline').touch()
    assert not build.run()
    (build.folder / 'offline').unlink()
    assert build.run()
    assert (build.folder / 'target/deps/package').exists()


def test_build_replaces_packages_of_another_machine(build):
    deps = build.folder / 'target/deps'
    deps.mkdir(parents=True)
    (deps / 'carried-over').touch()
    assert build.run()
    assert not (deps / 'carried-over').exists()
    (build.folder / 'target/deps.installed').write_text('another machine')
    assert build.run()
    assert build.installations == 2


def test_build_installs_once(build):
    assert build.run()
    assert build.run()
    assert build.installations == 1


def test_build_installs_again_when_the_requirements_change(build):
    assert build.run()
    with open(build.folder / 'requirements.txt', 'a') as file:
        file.write('# changed\n')
    assert build.run()
    assert build.installations == 2
