"""Finds the route of a request."""


class RouteTable:
    """Routes by host and longest prefix.

    :param routes: Route objects.
    """

    def __init__(self, routes):
        self._by_host = {}
        for found in routes:
            by_prefix = self._by_host.setdefault(found.host, {})
            by_prefix[found.prefix] = found

    def find(self, host, path):
        """Return the route of a request, or None.

        :param host: host name, without a port.
        :param path: path of the request, without a query.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            found = by_prefix.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None
