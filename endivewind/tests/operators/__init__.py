"""Tests of endivewind.operators."""
