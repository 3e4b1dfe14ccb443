"""A query part in progress on the instance that serves it."""

import dataclasses

from savorycross.peer import messages


@dataclasses.dataclass(slots=True)
class PartRun:
    """Collects the results of a part until all jobs have finished.

    :param sender: name of the instance that gets the answer.
    :param unfinished_jobs: name of the replica set by id of each job without a
        result.
    :param results: ShardResults that have not been sent yet.
    :param max_wait_s: longest time that one of the jobs was queued, seconds.
    """

    sender: str
    part: messages.Part
    unfinished_jobs: dict[int, str] = dataclasses.field(default_factory=dict)
    results: list = dataclasses.field(default_factory=list)
    max_wait_s: float = 0.0

    def add(self, finish):
        """Add the result of one of the part's jobs.

        :param finish: Finish of the job.
        """
        self.unfinished_jobs.pop(finish.job.job_id, None)
        self.max_wait_s = max(self.max_wait_s, finish.waited_s)
        self.results.append(
            messages.ShardResult(
                shard=finish.job.shard,
                cause='' if finish.cause is None else str(finish.cause),
                body=finish.body,
                ran=_RAN_CODES[finish.ran],
            )
        )

    def add_missing(self, shard, cause):
        """Add a shard that was not run, because it got no job.

        :param cause: Cause.
        """
        result = messages.ShardResult(shard, str(cause), b'', ran=0)
        self.results.append(result)

    def pop_answer(self):
        """Return the unsent results as a PartAnswer and clear them."""
        answer = messages.PartAnswer(
            part_id=self.part.part_id,
            results=tuple(self.results),
            final=not self.unfinished_jobs,
            wait_ms=self.max_wait_s * 1000,
        )
        self.results = []
        return answer


_RAN_CODES = {True: 1, False: 0, None: -1}
