"""Durable state: the objects that nodes keep in the platform's store."""
