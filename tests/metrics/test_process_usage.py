"""What the process uses of its machine."""

import os

from savorycross.metrics import process_usage


def test_resident_bytes_are_those_of_the_process():
    resident_bytes = process_usage.read_resident_bytes()
    assert 2**20 < resident_bytes < 2**32
    assert resident_bytes % os.sysconf('SC_PAGE_SIZE') == 0


def test_open_descriptor_is_counted():
    before = process_usage.count_descriptors()
    descriptor = os.open(os.devnull, os.O_RDONLY)
    try:
        assert process_usage.count_descriptors() == before + 1
    finally:
        os.close(descriptor)


# Guards against metrics that fail where the system does not tell.
def test_usage_that_cannot_be_read_is_unknown(tmp_path):
    assert process_usage.read_resident_bytes(tmp_path / 'missing') is None
    assert process_usage.count_descriptors(tmp_path / 'missing') is None
    wrong = tmp_path / 'statm'
    wrong.write_text('x')
    assert process_usage.read_resident_bytes(wrong) is None
