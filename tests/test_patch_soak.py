"""Tests of the soak of patches over real processes."""

import patch_soak


def test_short_soak_of_patches_breaks_no_property():
    """Fails if an accepted patch is lost or doubled, or a version goes back.

    The failures are kills of the leader and of entries, and restarts of an
    entry in a zone that is cut off; the seed fixes their order. The time
    limit for the last version is far above its target, so that the result
    does not depend on how long a step took; the long soak checks the target.
    """
    arguments = ["--short", "--seed", "12", "--within-ms", "60000"]
    assert patch_soak.main(arguments) == 0
