"""Starts a whole deployment, sends it queries and a booking, and ends it.

Usage: python scripts/demo.py
"""

import pathlib
import sys

import fire

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins import deployment  # noqa: E402

CENTRES = ('sapporo', 'asahikawa', 'hakodate')


def show(title, result):
    """Print the output of a command; exit if the command failed.

    :param result: CompletedProcess of the command.
    """
    print(f'== {title}')
    print((result.stdout + result.stderr).rstrip())
    if result.returncode:
        raise SystemExit(f'demo failed: exit status {result.returncode}')


def main(folder='demo-logs'):
    """Run the demo.

    :param folder: folder for the log of each process.
    """
    demo_deployment = deployment.Deployment(
        ROOT / 'examples' / 'kitaguchi.csv', CENTRES, folder, warm=True
    )
    entries = f'--entries={",".join(demo_deployment.entries)}'
    try:
        demo_deployment.start_all()
        run_command = demo_deployment.run_command
        show('entries', run_command('entries', entries))
        show(
            'query over 25 shards of fit-records',
            run_command('query', 'fit-history', entries, '--limit=3'),
        )
        show(
            'query over 45 shards of 15 services',
            run_command('query', 'fitter-finder', entries, '--limit=3'),
        )
        show(
            'booking',
            run_command(
                'book', 'book-slot', entries, '--payload={"rider": 7}'
            ),
        )
        bookings = [
            b for t in _target_records(demo_deployment) for b in t['bookings']
        ]
        print(f'== bookings that targets ran: {len(bookings)}')
        if len(bookings) != 1:
            raise SystemExit('demo failed: expected one booking')
        print('demo: ok')
    finally:
        demo_deployment.stop()


def _target_records(demo_deployment):
    return demo_deployment.record()['targets'].values()


if __name__ == '__main__':
    fire.Fire(main)
