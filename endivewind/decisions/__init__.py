"""Decision logic without I/O: no sockets, tasks or clock."""
