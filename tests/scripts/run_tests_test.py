#!/usr/bin/env python3
"""Tests of scripts/run_tests.py, which decides whether CI passes."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import run_tests  # pylint: disable=wrong-import-position

TESTS = {"First", "Second", "Third"}
STARTS = "TEST(Group, First) - 1 ms\nTEST(Group, Second)"


class FindFailedTests(unittest.TestCase):
    def test_crash_fails_the_test_that_was_running(self):
        # Guards against a crash that is blamed on tests that never started.
        self.assertEqual({"Second"}, run_tests.find_failed_tests(STARTS, -6, TESTS))

    def test_crash_after_a_known_failure_is_reported(self):
        # Guards against a crash that is hidden by a failure listed in KNOWN-RED.txt.
        output = "TEST(Group, First)\nerror: Failure in TEST(Group, First)\n - 1 ms\n" + STARTS
        self.assertEqual({"First", "Second"}, run_tests.find_failed_tests(output, -11, TESTS))

    def test_only_listed_failures_after_a_complete_run(self):
        output = STARTS + "\nerror: Failure in TEST(Group, Second)\n\nErrors (1 failures, 3 tests)"
        self.assertEqual({"Second"}, run_tests.find_failed_tests(output, 1, TESTS))

    def test_error_after_the_last_test_fails_the_group(self):
        # Guards against a leak report at the end of the process that nobody sees.
        self.assertEqual(TESTS, run_tests.find_failed_tests(STARTS + "\nOK (3 tests)", 1, TESTS))

    def test_crash_before_the_first_test_fails_the_group(self):
        self.assertEqual(TESTS, run_tests.find_failed_tests("", -6, TESTS))

    def test_success(self):
        self.assertEqual(set(), run_tests.find_failed_tests(STARTS + "\nOK (3 tests)", 0, TESTS))


if __name__ == "__main__":
    unittest.main()
