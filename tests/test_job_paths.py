"""Tests of the paths that name jobs."""

import pytest

from wigeonport.job_paths import split_job_path


@pytest.mark.parametrize(
    ("path", "parts"),
    [
        ("/p/5c0e7a21d94b36f8", ("/p/", "5c0e7a21d94b36f8")),
        ("/p5c0e7a21d94b36f8", ("/p", "5c0e7a21d94b36f8")),
        ("/p/", ("/p/", "")),
        ("", ("", "")),
        ("/p/5C0E7A21D94B36F8", ("/p/5C0E7A21D94B36F8", "")),
        ("/p/5c0e", ("/p/5c0e", "")),
        ("/p/5c0e7a21d94b36f8/", ("/p/5c0e7a21d94b36f8/", "")),
        ("/p/5c0e7a21d94b36f\n", ("/p/5c0e7a21d94b36f\n", "")),
        ("/p/５c0e7a21d94b36f8", ("/p/５c0e7a21d94b36f8", "")),
    ],
)
def test_job_id_at_the_end_of_a_path(path, parts):
    """Only 16 lower-case hexadecimal digits must be taken as a job id."""
    assert split_job_path(path) == parts
