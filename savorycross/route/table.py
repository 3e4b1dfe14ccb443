"""Looks up the route of a request."""


class RouteTable:
    """Routes by host and by longest prefix of the path.

    :param routes: Route objects.
    """

    def __init__(self, routes):
        self._by_host = {}
        for route in routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.prefix] = route

    def find(self, host, path):
        """Return the Route of a request, or None.

        :param host: host name without a port.
        :param path: path of the request without the query.
        """
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None
