"""Tests of endivewind.durable."""
