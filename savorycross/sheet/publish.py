"""Catalogues in the platform's store.

A small manifest names the version and the content parts; it is replaced by
compare-and-swap, so each version has one content. Parts are stored under
their digest before the manifest names them.
"""

import dataclasses
import hashlib

import msgspec
import trio

from savorycross.catalogue import catalogue
from savorycross.catalogue import keeper
from savorycross import errors
from savorycross.sheet import diff

MANIFEST_KEY = 'savorycross/manifest'
PART_BYTES = 700 * 1024
MAX_WRITE_IDS = 64
WRITE_ATTEMPTS = 6
WRITE_PAUSE_S = 0.3


@dataclasses.dataclass(frozen=True)
class Manifest:
    """What the store holds of a version.

    :param parts: digests of the content parts, in order.
    :param digest: digest of what the catalogue declares.
    :param writes: ids of the latest writes, this version's last.
    """

    version: int = 0
    author: str = ''
    digest: str = ''
    parts: tuple[str, ...] = ()
    writes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The answer to a published sheet.

    :param changed: False if the same content was in force already.
    """

    version: int
    changed: bool
    changes: tuple[str, ...] = ()


def part_key(digest):
    """Return the store's key of a content part."""
    return f'savorycross/part/{digest}'


async def read_manifest(store):
    """Return the manifest and its revision in the store."""
    entry = await store.get(MANIFEST_KEY)
    if not entry.revision:
        return Manifest(), 0
    return msgspec.json.decode(entry.value, type=Manifest), entry.revision


async def read_catalogue(store, manifest):
    """Return the catalogue that a manifest names.

    :raises StoreUnavailableError: if a part is missing or damaged.
    """
    if not manifest.version:
        return catalogue.Catalogue()
    pieces = []
    for digest in manifest.parts:
        entry = await store.get(part_key(digest))
        if hashlib.sha256(entry.value).hexdigest() != digest:
            raise errors.StoreUnavailableError(f'part {digest} is damaged')
        pieces.append(entry.value)
    return keeper.decode_compressed(b''.join(pieces))


async def publish(
    store, made, author, write_id, options, wall_time, announce=None
):
    """Write a checked catalogue as the next version.

    :param write_id: unique text that marks this write, so that it is
        recognised after a lost answer.
    :param options: a PublishOptions.
    :param announce: async callable that hands a landed catalogue to
        instances, so that it is in force even if the store fails now.
    :returns: Accepted, once the write is known to have landed.
    :raises SheetRaceError: if the store holds another version than
        expected.
    :raises SheetShrinksError: if most targets would go.
    :raises StoreUnavailableError: if it is not known to have landed.
    """
    manifest, revision = await _retry(read_manifest, store)
    current = await _retry(read_catalogue, store, manifest)
    _check_base(manifest, options.base)
    if made.digest == manifest.digest:
        return Accepted(manifest.version, changed=False)
    if not options.allow_shrink and diff.takes_out_most(
        current, made, wall_time
    ):
        raise errors.SheetShrinksError(
            'the sheet takes out more than half of the open targets; '
            'confirm with --allow-shrink'
        )
    version = manifest.version + 1
    made = dataclasses.replace(made, version=version, author=author)
    parts = await _write_parts(store, made)
    writes = (*manifest.writes, write_id)[-MAX_WRITE_IDS:]
    next_manifest = Manifest(version, author, made.digest, parts, writes)
    await _swap(store, next_manifest, revision)
    if announce is not None:
        await announce(made)
    changes = tuple(str(c) for c in diff.diff(current, made))
    return Accepted(version, changed=True, changes=changes)


@dataclasses.dataclass(frozen=True)
class PublishOptions:
    """What an operator demands of a publication.

    :param base: version that the sheet was based on, or None for any.
    :param allow_shrink: whether most targets may be taken out.
    """

    base: int | None = None
    allow_shrink: bool = False


def _check_base(manifest, base):
    if base is not None and base != manifest.version:
        raise errors.SheetRaceError(
            f'the sheet is based on version {base}, but {manifest.author} '
            f'has applied version {manifest.version}'
        )


async def _write_parts(store, made):
    data = keeper.encode_compressed(made)
    digests = []
    for start in range(0, len(data), PART_BYTES):
        piece = data[start : start + PART_BYTES]
        digest = hashlib.sha256(piece).hexdigest()
        await _retry(_write_part, store, part_key(digest), piece)
        digests.append(digest)
    return tuple(digests)


async def _write_part(store, key, piece):
    entry = await store.get(key)
    if entry.value == piece:
        return
    await store.put(key, piece, entry.revision)


async def _swap(store, manifest, revision):
    """Replace the manifest; read it back if the answer is lost."""
    value = msgspec.json.encode(manifest)
    for _ in range(WRITE_ATTEMPTS):
        try:
            await store.put(MANIFEST_KEY, value, revision)
            return
        except errors.StoreConflictError:
            if await _has_landed(store, manifest):
                return
            found, _ = await _retry(read_manifest, store)
            raise errors.SheetRaceError(
                f'{found.author} has applied version {found.version} '
                f'while {manifest.author} applied this sheet'
            ) from None
        except errors.StoreUnavailableError:
            await trio.sleep(WRITE_PAUSE_S)
    if await _has_landed(store, manifest):
        return
    raise errors.StoreUnavailableError('the sheet is not known to be accepted')


async def _has_landed(store, manifest):
    """Tell whether this very write has become a version."""
    found, _ = await _retry(read_manifest, store)
    return manifest.writes[-1] in found.writes


async def _retry(call, *args):
    """Repeat a call that may be repeated until the store answers."""
    for _ in range(WRITE_ATTEMPTS - 1):
        try:
            return await call(*args)
        except errors.StoreUnavailableError:
            await trio.sleep(WRITE_PAUSE_S)
    return await call(*args)
