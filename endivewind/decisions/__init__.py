"""Pure decisions under load: no sockets, tasks or clock."""
