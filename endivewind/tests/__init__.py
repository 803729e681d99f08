"""Tests; the packages below mirror those of the product."""
