"""Reports traffic and detection times of simulated fleets.

Usage: python -m tests.fleet.report COUNT [EXCHANGE_MAX]
"""

import sys
import time

from savorycross.fleet import peer_registry
from tests.fleet import simulation

STEADY_S = 5
LIMIT_S = 15.0
LOSS = 0.2


def _print(name, value):
    print(f'{name}: {value}', flush=True)


def _measure_steady(simulated):
    simulated.sent_bytes.clear()
    simulated.received_rows.clear()
    started_s = time.process_time()
    wrong = 0
    for _ in range(STEADY_S * 2):
        simulated.run(0.5)
        wrong = max(wrong, simulated.count_wrong()[0])
    used_s = time.process_time() - started_s
    live = len(simulated.live()) * STEADY_S
    sent = simulated.sent_bytes.values()
    rows = simulated.received_rows.values()
    return (
        f'{sum(sent) / live:.0f} bytes/s sent, {max(sent) / STEADY_S:.0f} at'
        f' most, {sum(rows) / live:.0f} rows/s read,'
        f' {100 * used_s / live:.2f}% of a core, {wrong} of'
        f' {simulated.count_wrong()[1]} entries wrong'
    )


def _measure_naming(simulated, names):
    return simulated.seconds_until(
        lambda: simulated.count_namings(names) == 0, LIMIT_S
    )


def _measure_agreement(simulated):
    return simulated.seconds_until(
        lambda: simulated.count_wrong()[0] == 0, LIMIT_S, 0.2
    )


def main(count, full_exchange_max=peer_registry.FULL_EXCHANGE_MAX):
    """Report on a fleet.

    :param count: number of instances.
    :param full_exchange_max: see PeerRegistry.
    """
    simulated = simulation.Simulation(
        count, full_exchange_max=full_exchange_max
    )
    _print('agreement after a common start, s', _measure_agreement(simulated))
    _print('largest datagram, bytes', simulated.largest)
    simulated.run(10)
    _print('steady', _measure_steady(simulated))
    simulated.end('i0')
    _print('one ends, s', _measure_naming(simulated, ['i0']))
    simulated.stop('i1')
    _print('one stops, s', _measure_naming(simulated, ['i1']))
    for name in ('i2', 'i3'):
        simulated.members[name].revision = 9
    known_s = simulated.seconds_until(
        lambda: simulated.is_ahead_known(9), LIMIT_S, 0.05
    )
    _print('newer revision known, s', known_s)
    simulated.freeze('i4', 3.0)
    simulated.run(3.0)
    _print('agreement after a freeze of 3 s, s', _measure_agreement(simulated))
    simulated.loss = LOSS
    _print('steady with loss', _measure_steady(simulated))
    simulated.end('i5')
    _print('one ends with loss, s', _measure_naming(simulated, ['i5']))
    simulated.loss = 0.0
    simulated.run(2.0)
    simulated.cut = frozenset({'dc1'})
    simulated.run(8.0)
    simulated.cut = frozenset()
    _print('agreement after a cut of 8 s, s', _measure_agreement(simulated))
    simulated.run(2.0)
    names = [m.peer.name for m in simulated.live()][::2]
    simulated.end(*names)
    simulated.sent_bytes.clear()
    _print('half of the fleet ends, s', _measure_naming(simulated, names))
    _print('agreement after that, s more', _measure_agreement(simulated))


if __name__ == '__main__':
    main(*(int(a) for a in sys.argv[1:]))
