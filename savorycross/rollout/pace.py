"""How often an instance reports, and how much.

Load pattern: the reports on several roll-outs at once, each with the sums of
many routes, would exceed the bytes that control may take. The interval grows
with them, as far as the bound on a bad version allows; then fewer sums are
reported at a time, and the others wait for their turn.

Source of the method: additive increase, multiplicative decrease (Chiu and
Jain, Computer Networks and ISDN Systems 17(1), 1989).
"""

# Bytes a second for the reports of one instance. The rest of the 4 KB a second
# that control may take is left for its answers to the reports of others.
REPORT_BYTES_PER_S = 1800
# Rows with the sums of a route that are reported at a time.
MAX_ROWS = 240
# It grows by so many while the reports need less than this part of the longest
# interval.
MORE_ROWS = 8
MORE_PART = 0.8


class Pace:
    """The interval and size of the reports of one instance.

    ``interval_s`` is the interval in seconds, ``max_rows`` the number of rows
    in the reports on all roll-outs together.

    :param timing: Timing.
    """

    def __init__(self, timing):
        self._timing = timing
        self.interval_s = timing.report_s
        self.max_rows = MAX_ROWS

    def adjust(self, sent_bytes):
        """Adjust to the size of the latest reports.

        :param sent_bytes: bytes of all their datagrams.
        """
        needed_s = sent_bytes / REPORT_BYTES_PER_S
        longest_s = self._timing.longest_report_s
        self.interval_s = min(max(needed_s, self._timing.report_s), longest_s)
        if needed_s > longest_s:
            self.max_rows = max(1, self.max_rows // 2)
        elif needed_s < MORE_PART * longest_s:
            self.max_rows = min(self.max_rows + MORE_ROWS, MAX_ROWS)
