"""Tests of endivewind.targets."""
