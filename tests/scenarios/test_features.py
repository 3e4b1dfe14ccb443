import pathlib

import pytest_bdd

from tests.scenarios import scenario_context

FOLDER = pathlib.Path(__file__).parent / 'features'


def _bind(path):
    """Define a test for each scenario of a feature file."""
    feature = pytest_bdd.feature.get_feature(str(path.parent), path.name)
    for title in feature.scenarios:

        @pytest_bdd.scenario(str(path), title)
        def test(script):
            scenario_context.run_scenario(script)

        name = f'test_{path.stem}_{title}'
        globals()[''.join(c if c.isalnum() else '_' for c in name)] = test


for _path in sorted(FOLDER.glob('*.feature')):
    _bind(_path)
