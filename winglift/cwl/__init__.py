"""Reads CWL files, checks them and converts them to plans. Runs in the client and accesses no network."""
