import pathlib
import re

from scripts import make_docs

ROOT = pathlib.Path(__file__).resolve().parent.parent


def test_settings_page_matches_the_code():
    assert (ROOT / 'docs/SETTINGS.md').read_text() == make_docs.make_settings()


def test_errors_page_matches_the_code():
    assert (ROOT / 'docs/ERRORS.md').read_text() == make_docs.make_errors()


def test_error_codes_are_distinct():
    error_codes = [c.code for c in make_docs.find_errors()]
    assert len(error_codes) == len(set(error_codes))


def test_links_between_pages_exist():
    broken_links = []
    for page in (*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')):
        for link in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
            if not (page.parent / link).exists():
                broken_links.append(f'{page.name}: {link}')
    assert not broken_links
