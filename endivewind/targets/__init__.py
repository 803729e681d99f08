"""The side towards targets: announcements, leases, dispatch."""
