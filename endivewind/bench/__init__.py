"""Simulations of the decisions in virtual time, without any sockets."""
