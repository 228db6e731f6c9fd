"""CWL files read, checked and made into plans: on the client's side, without network access."""
