"""Publication of catalogues in the platform's key-value store.

A small manifest holds the version and the digests of the content parts. It
is replaced by compare-and-swap, so each version has exactly one content. The
parts are stored under their digests before a manifest refers to them.
"""

import dataclasses
import hashlib

import msgspec
import trio

from savorycross.catalogue import catalogue
from savorycross.catalogue import keeper
from savorycross import decoding
from savorycross import errors
from savorycross.sheet import diff

MANIFEST_KEY = 'savorycross/manifest'
MAX_PART_BYTES = 700 * 1024
MAX_WRITE_IDS = 64
STORE_ATTEMPTS = 6
RETRY_PAUSE_S = 0.3


@dataclasses.dataclass(frozen=True)
class Manifest:
    """The store's description of a version of the catalogue.

    :param version: version number; 0 if no sheet has been accepted.
    :param author: name of the operator who applied the sheet.
    :param digest: digest of the declared items, as ``Catalogue.digest``.
    :param parts: hexadecimal SHA-256 digests of the content parts, in order.
    :param writes: ids of the latest writes; the last is that of this
        version.
    """

    version: int = 0
    author: str = ''
    digest: str = ''
    parts: tuple[str, ...] = ()
    writes: tuple[str, ...] = ()


_manifest_decoder = msgspec.json.Decoder(Manifest)


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The result of publishing a sheet.

    :param version: version that holds the content of the sheet.
    :param changed: False if the accepted version had the same content
        already.
    :param changes: one line for each change.
    """

    version: int
    changed: bool
    changes: tuple[str, ...] = ()


def part_key(digest):
    """Return the key under which the store holds a content part."""
    return f'savorycross/part/{digest}'


async def read_manifest(store):
    """Return the manifest and its revision in the store.

    :returns: Manifest and int; an empty Manifest and 0 if there is none.
    :raises StoreUnavailableError: if the store does not answer.
    """
    entry = await store.get(MANIFEST_KEY)
    if not entry.revision:
        return Manifest(), 0
    return decoding.decode(_manifest_decoder, entry.value), entry.revision


async def read_catalogue(store, manifest):
    """Return the Catalogue that a manifest describes.

    :raises StoreUnavailableError: if a part is missing or damaged.
    """
    if not manifest.version:
        return catalogue.Catalogue()
    parts = []
    for digest in manifest.parts:
        entry = await store.get(part_key(digest))
        if hashlib.sha256(entry.value).hexdigest() != digest:
            raise errors.StoreUnavailableError(
                f'catalogue part {digest} is missing or damaged'
            )
        parts.append(entry.value)
    return keeper.decode_compressed(b''.join(parts))


async def publish(
    store, new_catalogue, author, write_id, options, wall_time, announce=None
):
    """Write a validated catalogue as the next version.

    :param new_catalogue: Catalogue whose version and author are ignored.
    :param author: name of the operator who applies the sheet.
    :param write_id: unique text that identifies this write, so that it is
        recognised in the store when the answer to the write is lost.
    :param options: PublishOptions.
    :param wall_time: wall-clock time in seconds since the epoch.
    :param announce: async callable that sends the accepted catalogue to
        instances, so that they adopt it even if the store fails then.
    :returns: Accepted, once the write is known to be committed.
    :raises SheetRaceError: if the store holds another version than
        expected.
    :raises SheetShrinksError: if most open targets would be removed or
        closed, and the options don't allow it.
    :raises StoreUnavailableError: if the write is not known to be committed.
    """
    manifest, revision = await _call_with_retries(read_manifest, store)
    current = await _call_with_retries(read_catalogue, store, manifest)
    _check_base_version(manifest, options.base)
    if new_catalogue.digest == manifest.digest:
        return Accepted(manifest.version, changed=False)
    if not options.allow_shrink and diff.closes_most_targets(
        current, new_catalogue, wall_time
    ):
        raise errors.SheetShrinksError(
            'the sheet removes or closes more than half of the open targets; '
            'confirm with --allow-shrink'
        )
    version = manifest.version + 1
    new_catalogue = dataclasses.replace(
        new_catalogue, version=version, author=author
    )
    writes = (*manifest.writes, write_id)
    await write_version(store, new_catalogue, writes, revision)
    if announce is not None:
        await announce(new_catalogue)
    changes = tuple(str(c) for c in diff.diff(current, new_catalogue))
    return Accepted(version, changed=True, changes=changes)


async def write_version(store, new_catalogue, writes, revision):
    """Write a catalogue and its manifest in place of another manifest.

    :param new_catalogue: Catalogue with its version and author.
    :param writes: ids of the writes up to this one, the latest last.
    :param revision: revision that the manifest's key must have.
    :raises SheetRaceError: if it has another one.
    :raises StoreConflictError: if the same part is written at once.
    :raises StoreUnavailableError: if the write is not known to be committed.
    """
    parts = await _write_parts(store, new_catalogue)
    manifest = Manifest(
        new_catalogue.version,
        new_catalogue.author,
        new_catalogue.digest,
        parts,
        tuple(writes[-MAX_WRITE_IDS:]),
    )
    await _replace_manifest(store, manifest, revision)


@dataclasses.dataclass(frozen=True)
class PublishOptions:
    """Conditions under which a sheet is published.

    :param base: version that the sheet must be based on, or None for any.
    :param allow_shrink: whether most open targets may be removed or closed.
    """

    base: int | None = None
    allow_shrink: bool = False


def _check_base_version(manifest, base):
    if base is not None and base != manifest.version:
        raise errors.SheetRaceError(
            f'the sheet is based on version {base}, but {manifest.author} '
            f'has applied version {manifest.version}'
        )


async def _write_parts(store, new_catalogue):
    data = keeper.encode_compressed(new_catalogue)
    digests = []
    for start in range(0, len(data), MAX_PART_BYTES):
        part = data[start : start + MAX_PART_BYTES]
        digest = hashlib.sha256(part).hexdigest()
        await _call_with_retries(_write_part, store, part_key(digest), part)
        digests.append(digest)
    return tuple(digests)


async def _write_part(store, key, part):
    entry = await store.get(key)
    if entry.value == part:
        return
    await store.put(key, part, entry.revision)


async def _replace_manifest(store, manifest, revision):
    """Replace the manifest; read it again if the answer is lost."""
    value = msgspec.json.encode(manifest)
    for _ in range(STORE_ATTEMPTS):
        try:
            await store.put(MANIFEST_KEY, value, revision)
            return
        except errors.StoreConflictError:
            if await _is_committed(store, manifest):
                return
            accepted, _ = await _call_with_retries(read_manifest, store)
            raise errors.SheetRaceError(
                f'{accepted.author} has applied version {accepted.version} '
                f'while {manifest.author} applied this sheet'
            ) from None
        except errors.StoreUnavailableError:
            await trio.sleep(RETRY_PAUSE_S)
    if await _is_committed(store, manifest):
        return
    raise errors.StoreUnavailableError(
        'the store has not confirmed that the sheet is accepted'
    )


async def _is_committed(store, manifest):
    """Return whether the write of a manifest has become a version."""
    stored, _ = await _call_with_retries(read_manifest, store)
    return manifest.writes[-1] in stored.writes


async def _call_with_retries(call, *args):
    """Repeat an idempotent call until the store answers.

    :raises StoreUnavailableError: if the last attempt fails too.
    """
    for _ in range(STORE_ATTEMPTS - 1):
        try:
            return await call(*args)
        except errors.StoreUnavailableError:
            await trio.sleep(RETRY_PAUSE_S)
    return await call(*args)
