"""The newest catalogue that an instance has, and its compressed form."""

import zlib

from savorycross.catalogue import catalogue as catalogues


COMPRESSION_LEVEL = 6


class CatalogueKeeper:
    """Holds the newest catalogue and caches its compressed form for peers.

    The version of the held catalogue never decreases.

    >>> keeper = CatalogueKeeper()
    >>> newer = catalogues.Catalogue(version=2)
    >>> older = catalogues.Catalogue(version=1)
    >>> keeper.adopt_if_newer(newer), keeper.adopt_if_newer(older)
    (True, False)
    >>> keeper.current.version
    2
    """

    def __init__(self):
        self.current = catalogues.Catalogue()
        self._compressed = None

    def adopt_if_newer(self, candidate):
        """Replace the current catalogue if another has a higher version.

        :param candidate: the other Catalogue.
        :returns: whether the current catalogue was replaced.
        """
        if candidate.version <= self.current.version:
            return False
        self.current = candidate
        self._compressed = None
        return True

    def adopt_compressed_if_newer(self, data):
        """Replace the current catalogue if that of a peer is newer.

        :param data: bytes that ``encode_compressed`` has returned.
        :returns: whether the current catalogue was replaced.
        :raises ValueError: if the bytes do not hold a catalogue.
        """
        return self.adopt_if_newer(decode_compressed(data))

    def encode_compressed(self):
        """Return the current catalogue as compressed bytes for a peer."""
        if self._compressed is None:
            self._compressed = encode_compressed(self.current)
        return self._compressed


def encode_compressed(catalogue):
    """Return a catalogue as zlib-compressed JSON bytes.

    >>> data = encode_compressed(catalogues.Catalogue(version=3))
    >>> decode_compressed(data).version
    3
    """
    return zlib.compress(catalogues.encode(catalogue), COMPRESSION_LEVEL)


def decode_compressed(data):
    """Return the catalogue that zlib-compressed JSON bytes hold.

    :raises ValueError: if the bytes do not hold a catalogue.
    """
    try:
        encoded = zlib.decompress(data)
    except zlib.error as exc:
        raise ValueError('not a zlib-compressed catalogue') from exc
    return catalogues.decode(encoded)
