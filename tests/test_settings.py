"""Settings: what is missing or bad is named, what is unknown is ignored."""

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
def test_what_is_missing_is_named(part: str | None, key: str, path: str) -> None:
    value = settings_value()
    del (value if part is None else value[part])[key]
    with pytest.raises(SettingsError, match=f"^{path}: required"):
        parse_settings(value)


@pytest.mark.parametrize("bad", ["4", -1, 1.5, True, [2]])
def test_what_is_bad_is_named(bad: Any) -> None:
    with pytest.raises(SettingsError, match=r"^rules\.drainGrace: not"):
        parse_settings(settings_value(rules={"drainGrace": bad}))


def test_a_keyed_class_must_say_its_group_and_window() -> None:
    value = settings_value()
    del value["classes"][2]["memorySpan"]
    with pytest.raises(SettingsError, match=r"^classes\[2\]\.memorySpan"):
        parse_settings(value)
