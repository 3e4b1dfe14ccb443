"""Finds out whether a new version is bad.

Load pattern: a version fails or is slow at once, later, under load or on one
route only, while the load of all targets varies. Old and new targets are
compared on the same route, at the same distance and at the same time, so
that what slows both is no evidence. A failure of a test is rare over the
whole roll-out, as the tests may be looked at any time; see
``sequential_test``.
"""

import math

from savorycross.rollout import losses
from savorycross.rollout import sequential_test
from savorycross.rollout import sums as sums_module
from savorycross.rollout import timing

# Upper bound of the probability that a version within the margins is found bad
# in a roll-out; the method is conservative for equal versions.
FALSE_ALARMS = 0.02
# The same for its lost connections, on top.
LOSS_FALSE_ALARMS = 0.005
# Rates of failures may differ by this, and the assumed ones by these on top.
FAILURE_MARGIN = 0.005
FAILURE_LIFTS = (0.03, 0.15, 0.5)
# While old targets get nothing more, failures may exceed their last rate by
# this. Slow answers are not evaluated then, as a change of the load shows in
# them.
UNCOMPARED_MARGIN = 0.1
# Answers are slow beyond this multiple of the old targets' latency, a high
# quantile of it, and this long in addition.
SLOW_QUANTILE = 0.75
SLOW_FACTOR = 1.6
SLOW_EXTRA_S = 0.003
# A new version that takes most requests may queue a bit more than the old one
# then does.
SLOW_MARGIN = 0.12
SLOW_LIFTS = (0.15, 0.4, 0.75)
# Latencies of old targets that have to be known before any counts as slow.
MIN_LATENCIES = 30
MAX_STRATA = 64


class _Stratum:
    """The sums and tests of one route at one distance.

    ``evidence`` holds the Evidence by the kind of test.
    """

    def __init__(self, blocks):
        self.old = sums_module.Sums()
        self.new = sums_module.Sums()
        self.evidence = _make_evidence(blocks)
        self._past_old = sums_module.Sums()
        self._failure_rates = sequential_test.Rates(
            FAILURE_MARGIN, FAILURE_LIFTS
        )
        self._slow_rates = sequential_test.Rates(SLOW_MARGIN, SLOW_LIFTS)

    def close_block(self, is_compared):
        """Return the factors of the answers since the last block, by kind.

        :param is_compared: whether old targets get requests.
        :returns: empty if a version has none, as the block goes on then.
        """
        old, new = self.old, self.new
        if new.answers and not old.answers and not is_compared:
            self.new = sums_module.Sums()
            factors = self._failure_rates.add_uncompared(
                new.answers, new.failures, UNCOMPARED_MARGIN
            )
            self.evidence['failures'].multiply(factors)
            return {'failures': factors}
        if not old.answers or not new.answers:
            return {}
        self.old, self.new = sums_module.Sums(), sums_module.Sums()
        factors = {
            'failures': self._failure_rates.add_block(
                old.answers, old.failures, new.answers, new.failures
            )
        }
        if self._past_old.successes >= MIN_LATENCIES:
            quantile_s = self._past_old.quantile_s(SLOW_QUANTILE)
            bound = sums_module.find_bound(
                SLOW_FACTOR * quantile_s + SLOW_EXTRA_S
            )
            factors['slow'] = self._slow_rates.add_block(
                old.successes,
                old.count_slow(bound),
                new.successes,
                new.count_slow(bound),
            )
        self._past_old.add(old)
        for kind, log_factors in factors.items():
            self.evidence[kind].multiply(log_factors)
        return factors


class Evaluation:
    """Compares the answers of old and new targets of one service.

    ``reason`` says why the new version is bad; it is empty until then and
    stays once set. ``new_answers`` counts the answers of new targets,
    ``losses`` is the LossTest.

    :param over_s: seconds of the roll-out.
    :param block_s: seconds that one block of answers covers at least.
    """

    def __init__(self, over_s, block_s=timing.BLOCK_S):
        self.reason = ''
        self.new_answers = 0
        self._blocks = max(1, math.ceil(over_s / block_s))
        self.losses = losses.LossTest(self._blocks)
        self._strata = {}
        self._evidence = _make_evidence(self._blocks)

    def add(self, stratum, old, new):
        """Add sums of the answers that one instance got meanwhile.

        :param stratum: name of the route and distance.
        :param old: Sums of the old targets.
        :param new: Sums of the new ones.
        """
        known = self._strata.get(stratum)
        if known is None:
            if len(self._strata) >= MAX_STRATA:
                return
            known = self._strata[stratum] = _Stratum(self._blocks)
        known.old.add(old)
        known.new.add(new)
        self.new_answers += new.answers

    def close_block(self, is_compared=True):
        """Test what was added since the last call; return the reason.

        :param is_compared: whether old targets get requests.

        It is called each ``block_s``.
        """
        total = {}
        for stratum in self._strata.values():
            for kind, log_factors in stratum.close_block(is_compared).items():
                sums = total.get(kind, [0.0] * len(log_factors))
                total[kind] = [
                    a + b for a, b in zip(sums, log_factors, strict=True)
                ]
        for kind, log_factors in total.items():
            self._evidence[kind].multiply(log_factors)
        self.losses.close_block()
        self.reason = self.reason or self._find_reason()
        return self.reason

    def _find_reason(self):
        """Return why the version is bad, or an empty text.

        Half of the false alarms are left to all routes together, the other
        half to the single ones, in the order in which they became known.
        """
        tests = [('all routes', 1.0, self._evidence)]
        for number, (name, stratum) in enumerate(self._strata.items(), 1):
            tests.append((name, number * (number + 1), stratum.evidence))
        for name, divisor, evidence in tests:
            for kind, products in evidence.items():
                threshold = math.log(
                    2 * len(evidence) * divisor / FALSE_ALARMS
                )
                if products.log_average >= threshold:
                    return f'{kind} on {name}'
        if self.losses.evidence.log_average >= -math.log(LOSS_FALSE_ALARMS):
            return 'lost connections'
        return ''


def _make_evidence(blocks):
    """Return new Evidence by the kind of test."""
    return {
        'failures': sequential_test.Evidence(blocks, len(FAILURE_LIFTS)),
        'slow': sequential_test.Evidence(blocks, len(SLOW_LIFTS)),
    }
