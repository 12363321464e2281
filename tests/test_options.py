"""Guards against invalid settings that are accepted."""

import pathlib
import tempfile
import unittest

from bamboorouter import errors
from bamboorouter import options

VALID = """
[process]
name = "entry-1"
zone = "a"
roles = ["entry"]
control = ["127.0.0.1:7000"]
[entry]
listen = "127.0.0.1:0"
"""


class LoadOptionsTest(unittest.TestCase):
    """Errors of load_options name the key, the value and the limits."""

    def load(self, text: str) -> options.Options:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text, encoding="utf-8")
            return options.load_options(str(path))

    def test_valid_settings_are_read(self) -> None:
        self.assertEqual(self.load(VALID).process.name, "entry-1")

    def test_unknown_key_is_refused(self) -> None:
        with self.assertRaisesRegex(errors.OptionsError, "lisen"):
            self.load(VALID.replace("listen", "lisen"))

    def test_wrong_type_names_key_and_value(self) -> None:
        with self.assertRaisesRegex(errors.OptionsError, r"entry\.listen.*42"):
            self.load(VALID.replace('"127.0.0.1:0"', "42"))

    def test_value_out_of_range_names_the_limit(self) -> None:
        with self.assertRaisesRegex(errors.OptionsError, r"<= 1.*value: 2"):
            self.load(VALID + "retry_budget = 2.0\n")

    def test_role_without_section_is_refused(self) -> None:
        with self.assertRaisesRegex(errors.OptionsError, "control"):
            self.load(VALID.replace('["entry"]', '["entry", "control"]'))
