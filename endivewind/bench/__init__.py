"""Simulations of the decisions in virtual time, without sockets or processes."""
