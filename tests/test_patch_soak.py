"""The short soak of patches over real processes."""

import patch_soak


def test_short_soak_of_patches_breaks_no_property():
    """Guards against lost, doubled and reverted versions under failures.

    The seed fixes the failures. The wait for the last version is bounded
    far above its target, so that no verdict depends on how long a step
    took; the target is checked by the long form.
    """
    arguments = ["--short", "--seed", "12", "--within-ms", "60000"]
    assert patch_soak.main(arguments) == 0
