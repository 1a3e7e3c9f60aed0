"""Settings: errors name the missing or invalid key, unknown keys are ignored."""

from __future__ import annotations

from typing import Any

import pytest

from sailhitch.settings import SettingsError, parse_settings
from tests.fake import settings_value


def test_unknown_keys_are_ignored() -> None:
    assert parse_settings(settings_value(novel={"a": 1})) == parse_settings(settings_value())


@pytest.mark.parametrize(
    ("part", "key", "path"),
    [
        (None, "balancers", "balancers"),
        (None, "classes", "classes"),
        ("limits", "attemptsCap", "limits.attemptsCap"),
        ("rules", "drainGrace", "rules.drainGrace"),
    ],
)
def test_a_missing_key_is_named(part: str | None, key: str, path: str) -> None:
    value = settings_value()
    del (value if part is None else value[part])[key]
    with pytest.raises(SettingsError, match=f"^{path}: required"):
        parse_settings(value)


@pytest.mark.parametrize("bad", ["4", -1, 1.5, True, [2]])
def test_an_invalid_value_is_named(bad: Any) -> None:
    with pytest.raises(SettingsError, match=r"^rules\.drainGrace: not"):
        parse_settings(settings_value(rules={"drainGrace": bad}))


def test_a_keyed_class_requires_its_window() -> None:
    value = settings_value()
    del value["classes"][2]["memorySpan"]
    with pytest.raises(SettingsError, match=r"^classes\[2\]\.memorySpan"):
        parse_settings(value)
