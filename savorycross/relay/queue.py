"""Priority queue of the jobs that wait for a replica."""

import collections
import heapq


class JobQueue:
    """Queues jobs by shard, each shard in order of priority and deadline."""

    def __init__(self):
        self._heaps = collections.defaultdict(list)
        self._by_priority = collections.Counter()
        self._removed = set()

    def __len__(self):
        return self._by_priority.total()

    def push(self, job, exclude=frozenset()):
        """Add a job.

        :param exclude: frozenset of the targets that have been tried.
        """
        entry = (job.priority, job.deadline, job.job_id, job, exclude)
        heapq.heappush(self._heaps[job.shard], entry)
        self._by_priority[job.priority] += 1

    def count_ahead(self, priority):
        """Return how many jobs are served before a new one of a priority."""
        return sum(n for p, n in self._by_priority.items() if p <= priority)

    def heads(self):
        """Return the first (job, exclude) of each shard, most urgent first."""
        heads = []
        for shard in list(self._heaps):
            heap = self._heaps[shard]
            while heap and heap[0][2] in self._removed:
                self._removed.discard(heapq.heappop(heap)[2])
            if heap:
                heads.append(heap[0])
            else:
                del self._heaps[shard]
        heads.sort(key=lambda e: e[:3])
        return [(e[3], e[4]) for e in heads]

    def pop(self, job):
        """Remove a job that is the first of its shard."""
        heapq.heappop(self._heaps[job.shard])
        self._by_priority[job.priority] -= 1

    def discard(self, job):
        """Remove a job from any place in the queue."""
        self._removed.add(job.job_id)
        self._by_priority[job.priority] -= 1
